/*
 * The core of the budget protocol, for model checking with spin:
 *
 *   spin -a spec/grants.pml && gcc -O2 -DSAFETY -o pan pan.c && ./pan
 *
 * Control grants units of one prepaid budget to routers. A router reserves a
 * unit for a request and has the intent recorded before it sends the request:
 * by control, or while it is cut off by IntentHolders = 2 other routers. A
 * router may freeze at any step. Control may retire a silent router at any time,
 * sweeps the other routers, and gives what the router held to others. Another
 * router may crash and come back empty at any time; control notices that by its
 * newer incarnation.
 *
 * Checked: what was sent never exceeds what is prepaid.
 *
 * Compile with -DNO_FENCE, -DNO_SWEEP or -DNO_COUNT to take a guard out: each of
 * them makes the check fail.
 */
#define PREPAID 2
#define OTHERS 3 /* the routers that can hold intents of router R */

byte sent = 0;      /* requests that targets have received, of one unit each */
byte free = 0;      /* units that control has set aside for nobody */
byte held = 0;      /* units that control has granted to R and that are not known spent */
byte available = 0; /* units that R thinks it can still reserve */
byte known = 0;     /* intents of R that control knows */
bool retired = false;
bool recovered = false;

bool holds[OTHERS];  /* whether the router holds the intent of R */
bool fenced[OTHERS]; /* whether the router refuses intents of R */
bool swept[OTHERS];  /* whether control has the router's answer */
byte lost = 0;       /* routers that have come back empty since R was last complete */

/* R: reserves, has its intent held by two others, and sends. */
proctype R() {
  byte acks = 0;
  byte i;
  do
  :: available > 0 ->
     available--;
     acks = 0;
     i = 0;
     do
     :: i < OTHERS && acks < 2 ->
        if
        :: atomic { !fenced[i] -> holds[i] = true; acks++ }
        :: skip /* the call was lost */
        fi;
        i++
     :: else -> break
     od;
     if
     :: acks == 2 -> sent++ /* R may have been frozen for long before this step */
     :: else -> skip        /* refused: the unit is not used again in this model */
     fi
  :: else -> break
  od
}

/* Crash: one of the others ends and comes back empty, twice at most. */
proctype Crash() {
  byte crashes = 0;
  byte i;
  do
  :: crashes < 2 ->
     select (i : 0 .. OTHERS - 1);
     atomic {
       holds[i] = false;
#ifndef NO_COUNT
       lost++;
#endif
       /* A router that registers learns which routers are retired. */
       fenced[i] = retired;
       crashes++
     }
  :: break
  od
}

/* Control: retires R, sweeps, and gives what is proved unspent to others. */
proctype Control() {
  byte i;
  retired = true;
  i = 0;
  do
  :: i < OTHERS ->
#ifndef NO_SWEEP
     atomic {
#ifndef NO_FENCE
       fenced[i] = true;
#endif
       if
       :: holds[i] && known == 0 -> known = 1
       :: else -> skip
       fi;
       swept[i] = true
     };
#endif
     i++
  :: else -> break
  od;
  atomic {
    if
    :: lost < 2 && !recovered ->
       recovered = true;
       free = free + held - known;
       held = 0
    :: else -> skip
    fi
  };
  /* Another router spends what is free. */
  do
  :: free > 0 -> atomic { free--; sent++ }
  :: else -> break
  od
}

init {
  atomic {
    /* R was granted one unit, another router has spent the rest. */
    held = 1;
    available = 1;
    sent = PREPAID - 1;
    run R();
    run Control();
    run Crash()
  }
}

ltl within { [] (sent <= PREPAID) }
