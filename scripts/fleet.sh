#!/usr/bin/env bash
# Starts a fleet on this machine: 3 control VMs, 3 routers in 3 data centres and
# stand-in targets, each a process of its own. Stops all of them at the end.
#
#   scripts/fleet.sh demo    sends a few hundred requests and checks the accounts
#   scripts/fleet.sh serve   leaves the fleet running until interrupted
#   scripts/fleet.sh slopes N  starts N routers and prints what each process costs
#                              for control, idle and at 2 requests a second a router
#   scripts/fleet.sh overload PERCENT  sends surveys, which may wait, and roof
#                              answers, which may not, at a part of capacity
set -euo pipefail

mode=${1:-serve}
router_count=3
percent=100
case $mode in
  slopes) router_count=${2:-3} ;;
  overload) percent=${2:-100} ;;
esac
root=$(cd "$(dirname "$0")/.." && pwd)
folder=$(mktemp -d)
program=$folder/radishshed
pids=()

stop() {
  local pid
  for pid in "${pids[@]}"; do
    kill "$pid" 2>/dev/null || true
  done
  for pid in "${pids[@]}"; do
    wait "$pid" 2>/dev/null || true
  done
  rm -rf "$folder"
}
trap stop EXIT

start() {
  local log=$1
  shift
  "$program" "$@" >"$folder/$log.out" 2>"$folder/$log.log" &
  pids+=($!)
}

# key NAME writes a secret to NAME.key and prints its hash.
key() {
  "$program" key >"$folder/$1.both"
  head -n 1 "$folder/$1.both" >"$folder/$1.key"
  tail -n 1 "$folder/$1.both"
}

settings() { # settings ROLE NUMBER DATACENTRE
  local role=$1 number=$2 centre=$3 link operator extra
  if [ "$role" = control ]; then
    link=71$number operator=72$number
    extra="\"dataFolder\": \"data-$number\","
  else
    link=73$number operator=74$number
    extra="\"callerAddress\": \"127.0.0.1:81$number\","
  fi
  cat >"$folder/$role-$number.json" <<JSON
{
  "vm": "$role-$number", "dataCentre": "$centre", "dataCentres": ["a", "b", "c"],
  "linkAddress": "127.0.0.1:$link", "operatorAddress": "127.0.0.1:$operator", $extra
  "controlAddresses": ["127.0.0.1:7101", "127.0.0.1:7102", "127.0.0.1:7103"],
  "fleetKeyFile": "fleet.key", "operatorKeyHashes": ["$operator_hash"], "drainNotice": "500ms"
}
JSON
}

(cd "$root" && go build -o "$program" ./cmd/radishshed)

key fleet >/dev/null
operator_hash=$(key operator)
target_hash=$(key target)
shops_hash=$(key shops)
members_hash=$(key members)
small_hash=$(key small)

centres=(a b c)
router_numbers=()
for i in $(seq 1 "$router_count"); do
  router_numbers+=("$(printf %02d "$i")")
done
for i in 0 1 2; do
  settings control "0$((i + 1))" "${centres[$i]}"
done
# list PREFIX prints the addresses of all routers as a JSON list.
list() {
  local addresses
  addresses=$(printf ', "127.0.0.1:'"$1"'%s"' "${router_numbers[@]}")
  echo "[${addresses:2}]"
}
for i in "${router_numbers[@]}"; do
  settings router "$i" "${centres[$(((10#$i - 1) % 3))]}"
done

cat >"$folder/fleet.json" <<JSON
{
  "controlAddresses": ["127.0.0.1:7201", "127.0.0.1:7202", "127.0.0.1:7203"],
  "routerAddresses": $(list 74),
  "keyFile": "operator.key"
}
JSON

cat >"$folder/ticket.json" <<JSON
{
  "number": 1,
  "comment": "two organisations, a model, a booking service and what may wait",
  "credentials": {"operatorKeyHashes": ["$operator_hash"], "targetKeyHashes": ["$target_hash"]},
  "organisations": [
    {"name": "frascoteca", "share": 2,
     "keys": [{"hash": "$shops_hash", "budget": "shops"}, {"hash": "$small_hash", "budget": "trial"}],
     "budgets": [
       {"name": "shops", "prepaidMicrocredits": 2000000000, "cutOffSpending": "30m"},
       {"name": "trial", "prepaidMicrocredits": 9000, "budgetWait": "200ms"}]},
    {"name": "kemenysuveg", "share": 1,
     "keys": [{"hash": "$members_hash", "budget": "members"}],
     "budgets": [{"name": "members", "prepaidMicrocredits": 1000000000, "cutOffSpending": "1m"}]}
  ],
  "services": [
    {"name": "assistant", "kind": "model", "repeatable": true, "maxCompletionTokens": 512, "timeout": "60s",
     "price": {"perCallMicrocredits": 0, "perPromptTokenMicrocredits": 2, "perCompletionTokenMicrocredits": 10}},
    {"name": "bookings", "kind": "plain", "repeatable": false, "timeout": "10s",
     "price": {"perCallMicrocredits": 500, "perPromptTokenMicrocredits": 0, "perCompletionTokenMicrocredits": 0}}
  ],
  "rules": [
    {"organisation": "kemenysuveg", "service": "assistant", "work": "survey", "mayWait": "30s"},
    {"organisation": "kemenysuveg", "service": "assistant", "work": "roof", "priority": 10},
    {"organisation": "frascoteca", "service": "assistant", "priority": 10}
  ]
}
JSON

requests=400 rate=100
if [ "$mode" = slopes ]; then
  requests=$((router_count * 40)) rate=$((router_count * 2))
fi
cat >"$folder/mix.json" <<JSON
{
  "routers": $(list 81),
  "targets": ["127.0.0.1:9104", "127.0.0.1:9105"],
  "requests": $requests, "ratePerSecond": $rate, "maxOpen": 100, "timeout": "60s", "seed": 1,
  "work": [
    {"name": "jar", "weight": 6, "organisation": "frascoteca", "key": "$(cat "$folder/shops.key")", "service": "assistant", "stream": true, "tokens": 60, "promptBytes": 600, "prefixes": 5},
    {"name": "label", "weight": 8, "organisation": "frascoteca", "key": "$(cat "$folder/shops.key")", "service": "assistant", "tokens": 8, "promptBytes": 100},
    {"name": "trial", "weight": 2, "organisation": "frascoteca", "key": "$(cat "$folder/small.key")", "service": "assistant", "stream": true, "tokens": 30, "promptBytes": 200},
    {"name": "survey", "weight": 2, "organisation": "kemenysuveg", "key": "$(cat "$folder/members.key")", "service": "assistant", "work": "survey", "stream": true, "tokens": 200, "promptBytes": 2000},
    {"name": "roof", "weight": 6, "organisation": "kemenysuveg", "key": "$(cat "$folder/members.key")", "service": "assistant", "work": "roof", "stream": true, "tokens": 20, "promptBytes": 200},
    {"name": "booking", "weight": 4, "organisation": "kemenysuveg", "key": "$(cat "$folder/members.key")", "service": "bookings", "path": "/book", "keyed": true}
  ]
}
JSON

# Half of the slots' time goes to surveys: of 48 slots with 200 tokens of 14 ms
# each and 20 tokens of 14 ms, 8.6 surveys and 86 roof answers a second fill all.
token_time=2ms
if [ "$mode" = overload ]; then
  token_time=10ms
  cat >"$folder/overload.json" <<JSON
{
  "routers": $(list 81), "requests": $((95 * percent / 100 * 30)), "ratePerSecond": $((95 * percent / 100)),
  "maxOpen": 2000, "timeout": "60s", "seed": 1,
  "work": [
    {"name": "survey", "weight": 1, "organisation": "kemenysuveg", "key": "$(cat "$folder/members.key")", "service": "assistant", "work": "survey", "stream": true, "tokens": 200, "promptBytes": 200},
    {"name": "roof", "weight": 10, "organisation": "kemenysuveg", "key": "$(cat "$folder/members.key")", "service": "assistant", "work": "roof", "stream": true, "tokens": 20, "promptBytes": 200, "lateAfter": "2s"}
  ]
}
JSON
fi

"$program" check ticket "$folder/ticket.json" >/dev/null
"$program" control --init --settings "$folder/control-01.json"
for i in 01 02 03; do
  start "control-$i" control --settings "$folder/control-$i.json"
done
routers=()
for i in "${router_numbers[@]}"; do
  start "router-$i" router --settings "$folder/router-$i.json"
  routers+=(--router "127.0.0.1:81$i")
done

for i in 1 2 3; do
  start "engine-$i" target --name "engine-$i" --address "127.0.0.1:910$i" --data-centre "${centres[$((i - 1))]}" \
    --key-file "$folder/target.key" --service assistant --capacity 16 --token-time "$token_time" "${routers[@]}"
done
for i in 4 5; do
  start "booking-$i" target --name "booking-$i" --address "127.0.0.1:910$i" --data-centre "${centres[$((i - 4))]}" \
    --key-file "$folder/target.key" --service bookings --capacity 64 "${routers[@]}"
done

"$program" ticket submit --fleet "$folder/fleet.json" "$folder/ticket.json"

# ready waits until every router knows a target of each service.
ready() {
  local deadline=$((SECONDS + 60)) wanted=$((5 * (3 + router_count)))
  until [ "$("$program" status --json --fleet "$folder/fleet.json" 2>/dev/null | grep -c '"target/')" -ge $wanted ]; do
    if [ $SECONDS -ge $deadline ]; then
      echo "the fleet did not become ready:" >&2
      "$program" status --fleet "$folder/fleet.json" >&2 || true
      return 1
    fi
    sleep 0.2
  done
}
ready

if [ "$mode" = demo ]; then
  "$program" load --mix "$folder/mix.json" --fleet "$folder/fleet.json" --verify demo
  exit
fi

if [ "$mode" = overload ]; then
  "$program" load --mix "$folder/overload.json"
  exit
fi

# sample ROLE PORT-PREFIX NUMBERS... prints the sums over the processes of a role:
# bytes sent, processor time in ms, resident memory in kB.
sample() {
  local role=$1 prefix=$2 number pid bytes=0 ticks=0 memory=0
  shift 2
  for number in "$@"; do
    pid=$(pgrep -f "^$program $role --settings $folder/$role-$number.json")
    bytes=$((bytes + $(curl -s "http://127.0.0.1:$prefix$number/metrics" | awk '/linkBytesSent/ {print $2}')))
    ticks=$((ticks + $(awk '{print $14 + $15}' "/proc/$pid/stat")))
    memory=$((memory + $(awk '/VmRSS/ {print $2}' "/proc/$pid/status")))
  done
  echo "$bytes $((ticks * 1000 / $(getconf CLK_TCK))) $memory"
}

# measure TITLE SECONDS prints what each process costs on average meanwhile.
measure() {
  local title=$1 seconds=$2 before after role
  for role in router control; do
    if [ $role = router ]; then
      args=(router 74 "${router_numbers[@]}")
    else
      args=(control 72 01 02 03)
    fi
    read -r -a before <<<"$(sample "${args[@]}")"
    sleep "$seconds"
    read -r -a after <<<"$(sample "${args[@]}")"
    awk -v t="$title" -v r=$role -v n=$((${#args[@]} - 2)) -v s="$seconds" -v n_routers="$router_count" \
      -v b=$((after[0] - before[0])) -v c=$((after[1] - before[1])) -v m="${after[2]}" \
      'BEGIN {printf "%2d routers, %s: a %s sends %.0f bytes/s, uses %.2f%% of a core and %.0f MB\n", n_routers, t, r, b / n / s, c / n / s / 10, m / n / 1000}'
  done
}

if [ "$mode" = slopes ]; then
  sleep 5
  measure idle 8
  "$program" load --mix "$folder/mix.json" >"$folder/load.out" 2>&1 &
  load=$!
  sleep 2
  measure "2 requests/s each" 8
  wait $load
  exit
fi

echo "callers: http://127.0.0.1:8101 8102 8103, keys in $folder/*.key"
echo "operators: $program status --fleet $folder/fleet.json"
echo "interrupt to stop"
trap 'exit 0' INT TERM
wait
