package applier

import (
	"time"

	"github.com/pkg/errors"

	"radishshed.example/radishshed/pkg/coordination/claimer"
	"radishshed.example/radishshed/pkg/protocol/encoder"
	"radishshed.example/radishshed/pkg/protocol/identifier"
	"radishshed.example/radishshed/pkg/state/archiver"
	"radishshed.example/radishshed/pkg/state/bookkeeper"
	"radishshed.example/radishshed/pkg/state/cataloguer"
	"radishshed.example/radishshed/pkg/state/escrower"
	"radishshed.example/radishshed/pkg/state/pricer"
)

type wireOpening struct {
	_            struct{} `cbor:",toarray"`
	Intent       bookkeeper.WireIntent
	Organisation string
	Key          string
	Fingerprint  []byte
	KeyProbe     bool
}

type wireClosing struct {
	_          struct{} `cbor:",toarray"`
	Settlement bookkeeper.WireSettlement
	Response   *claimer.WireResponse
}

type wireBatch struct {
	_                  struct{} `cbor:",toarray"`
	VM                 string
	Incarnation        uint64
	Register           bool
	ClosedBelow        uint64
	Openings           []wireOpening
	Closings           []wireClosing
	Draws              []bookkeeper.WireDraw
	ReplicatedIntents  []bookkeeper.WireIntent
	Swept              []encoder.WireProcess
	AllIntentsReported bool
	Deregister         bool
	Retirements        uint64
}

type wireLowering struct {
	_       struct{} `cbor:",toarray"`
	Account string
	Total   int64
	Cancel  bool
}

// wireCommand is the CBOR form of a command. Exactly one of the fields after
// AtMillis is set.
type wireCommand struct {
	_        struct{} `cbor:",toarray"`
	AtMillis int64
	Ticket   []byte
	Lowering *wireLowering
	Retire   *encoder.WireProcess
	Batch    *wireBatch

	Catalogue *cataloguer.WireRecord
	Spending  []byte
}

// wireOpeningOutcome is the CBOR form of an OpeningOutcome. At most one field is
// set. Neither is set if the outcome is Opened.
type wireOpeningOutcome struct {
	_       struct{} `cbor:",toarray"`
	Refusal string
	Claim   *claimer.WireOutcome
}

type wireBatchResult struct {
	_        struct{} `cbor:",toarray"`
	Refusal  string
	Fences   []encoder.WireProcess
	Openings []wireOpeningOutcome

	Retirements uint64

	Grants []bookkeeper.WireGrant
}

type wireState struct {
	_         struct{} `cbor:",toarray"`
	NowMillis int64
	Tickets   [][]byte
	Ledger    []byte
	Claims    []byte
	Catalogue cataloguer.WireRecord
	Escrow    []byte
}

// EncodeCommand returns the CBOR form of a command and its time, as stored in
// the replicated log.
func EncodeCommand(command Command, at time.Time) ([]byte, error) {
	w := wireCommand{AtMillis: at.UnixMilli()}
	switch c := command.(type) {
	case SubmitTicket:
		w.Ticket = archiver.Encode(c.ticket)
	case BeginLowering:
		w.Lowering = &wireLowering{Account: c.account, Total: int64(c.total)}
	case CancelLowering:
		w.Lowering = &wireLowering{Account: c.account, Cancel: true}
	case Retire:
		process := encoder.ProcessToWire(c.router)
		w.Retire = &process
	case Batch:
		batch := batchToWire(c)
		w.Batch = &batch
	case SubmitCatalogue:
		record := cataloguer.RecordToWire(c.record)
		w.Catalogue = &record
	case ReportSpending:
		report, err := escrower.EncodeReport(c.report)
		if err != nil {
			return nil, err
		}
		w.Spending = report
	case Evacuate:
		return encodeEvacuation(c, at)
	default:
		return nil, errors.Errorf("applier: unknown command %T", command)
	}
	return encoder.Marshal(w)
}

// DecodeCommand is the inverse of EncodeCommand.
func DecodeCommand(data []byte) (Command, time.Time, error) {
	var w wireCommand
	if err := encoder.Unmarshal(data, &w); err != nil {
		if command, at, evacuationErr := decodeEvacuation(data); evacuationErr == nil {
			return command, at, nil
		}
		return nil, time.Time{}, err
	}
	at := time.UnixMilli(w.AtMillis).UTC()
	switch {
	case w.Ticket != nil:
		ticket, err := archiver.Decode(w.Ticket)
		return SubmitTicket{ticket}, at, err
	case w.Lowering != nil && w.Lowering.Cancel:
		return CancelLowering{w.Lowering.Account}, at, nil
	case w.Lowering != nil:
		return BeginLowering{w.Lowering.Account, pricer.Amount(w.Lowering.Total)}, at, nil
	case w.Retire != nil:
		return Retire{encoder.ProcessFromWire(*w.Retire)}, at, nil
	case w.Batch != nil:
		batch, err := batchFromWire(*w.Batch)
		return batch, at, err
	case w.Catalogue != nil:
		return SubmitCatalogue{cataloguer.RecordFromWire(*w.Catalogue)}, at, nil
	case w.Spending != nil:
		report, err := escrower.DecodeReport(w.Spending)
		return ReportSpending{report}, at, err
	default:
		return nil, time.Time{}, errors.New("applier: the record contains no command")
	}
}

// EncodeBatch returns the CBOR form of a batch.
func EncodeBatch(b Batch) ([]byte, error) { return encoder.Marshal(batchToWire(b)) }

// DecodeBatch is the inverse of EncodeBatch.
func DecodeBatch(data []byte) (Batch, error) {
	var w wireBatch
	if err := encoder.Unmarshal(data, &w); err != nil {
		return Batch{}, err
	}
	return batchFromWire(w)
}

// EncodeBatchResult returns the CBOR form of a batch result.
func EncodeBatchResult(r BatchResult) ([]byte, error) {
	w := wireBatchResult{Refusal: r.refusal, Retirements: r.retirements}
	w.Fences = encoder.ProcessesToWire(r.fences)
	for _, opening := range r.openings {
		switch o := opening.(type) {
		case Opened:
			w.Openings = append(w.Openings, wireOpeningOutcome{})
		case Refused:
			w.Openings = append(w.Openings, wireOpeningOutcome{Refusal: o.reason})
		case KeyInUse:
			claim := claimer.OutcomeToWire(o.outcome)
			w.Openings = append(w.Openings, wireOpeningOutcome{Claim: &claim})
		default:
			return nil, errors.Errorf("applier: unknown opening outcome %T", opening)
		}
	}
	for _, grant := range r.grants {
		w.Grants = append(w.Grants, bookkeeper.GrantToWire(grant))
	}
	return encoder.Marshal(w)
}

// DecodeBatchResult is the inverse of EncodeBatchResult.
func DecodeBatchResult(data []byte) (BatchResult, error) {
	var w wireBatchResult
	if err := encoder.Unmarshal(data, &w); err != nil {
		return BatchResult{}, err
	}
	r := BatchResult{refusal: w.Refusal, retirements: w.Retirements}
	r.fences = encoder.ProcessesFromWire(w.Fences)
	for _, wire := range w.Openings {
		switch {
		case wire.Claim != nil:
			outcome, err := claimer.OutcomeFromWire(*wire.Claim)
			if err != nil {
				return BatchResult{}, err
			}
			r.openings = append(r.openings, KeyInUse{outcome})
		case wire.Refusal != "":
			r.openings = append(r.openings, Refused{wire.Refusal})
		default:
			r.openings = append(r.openings, Opened{})
		}
	}
	for _, wire := range w.Grants {
		grant, err := bookkeeper.GrantFromWire(wire)
		if err != nil {
			return BatchResult{}, err
		}
		r.grants = append(r.grants, grant)
	}
	return r, nil
}

// Snapshot returns the CBOR form of the state.
func (s *State) Snapshot() ([]byte, error) {
	w := wireState{NowMillis: s.now.UnixMilli(), Catalogue: cataloguer.RecordToWire(s.catalogue)}
	for _, ticket := range s.archive.Tickets() {
		w.Tickets = append(w.Tickets, archiver.Encode(ticket))
	}
	var err error
	if w.Ledger, err = s.ledger.Snapshot(); err != nil {
		return nil, err
	}
	if w.Claims, err = s.claims.Snapshot(); err != nil {
		return nil, err
	}
	if w.Escrow, err = s.escrow.Snapshot(); err != nil {
		return nil, err
	}
	return encodeState(w, s.evacuations)
}

// Restore returns the state that a snapshot contains. An empty snapshot stands
// for the initial state.
func Restore(config Config, data []byte) (*State, error) {
	s := New(config)
	if len(data) == 0 {
		return s, nil
	}
	w, evacuations, err := decodeState(data)
	if err != nil {
		return nil, err
	}
	s.evacuations = evacuations
	s.now = time.UnixMilli(w.NowMillis).UTC()
	for _, encoded := range w.Tickets {
		ticket, err := archiver.Decode(encoded)
		if err != nil {
			return nil, errors.Wrap(err, "snapshot: ticket")
		}
		s.archive.Submit(ticket)
	}
	if s.ledger, err = bookkeeper.Restore(config.Ledger, w.Ledger); err != nil {
		return nil, err
	}
	if s.claims, err = claimer.Restore(config.Claims, w.Claims); err != nil {
		return nil, err
	}
	s.catalogue = cataloguer.RecordFromWire(w.Catalogue)
	s.escrow, err = escrower.Restore(w.Escrow)
	return s, err
}

func batchToWire(b Batch) wireBatch {
	w := wireBatch{
		VM:                 b.router.VM(),
		Incarnation:        b.router.Incarnation(),
		Register:           b.register,
		ClosedBelow:        b.closedBelow,
		AllIntentsReported: b.allIntentsReported,
		Deregister:         b.deregister,
		Retirements:        b.retirements,
	}
	for _, o := range b.openings {
		wire := wireOpening{Intent: bookkeeper.IntentToWire(o.intent), KeyProbe: o.keyProbe}
		if !o.key.IsZero() {
			wire.Organisation, wire.Key = o.key.Organisation(), o.key.Key()
			wire.Fingerprint = o.fingerprint[:]
		}
		w.Openings = append(w.Openings, wire)
	}
	for _, c := range b.closings {
		wire := wireClosing{Settlement: bookkeeper.SettlementToWire(c.settlement)}
		if !c.response.IsZero() {
			response := claimer.ResponseToWire(c.response)
			wire.Response = &response
		}
		w.Closings = append(w.Closings, wire)
	}
	for _, d := range b.draws {
		w.Draws = append(w.Draws, bookkeeper.DrawToWire(d))
	}
	for _, i := range b.replicatedIntents {
		w.ReplicatedIntents = append(w.ReplicatedIntents, bookkeeper.IntentToWire(i))
	}
	w.Swept = encoder.ProcessesToWire(b.swept)
	return w
}

func batchFromWire(w wireBatch) (Batch, error) {
	if w.VM == "" {
		return Batch{}, errors.New("malformed batch: missing router VM")
	}
	b := Batch{
		router:             identifier.NewProcess(w.VM, w.Incarnation),
		register:           w.Register,
		closedBelow:        w.ClosedBelow,
		allIntentsReported: w.AllIntentsReported,
		deregister:         w.Deregister,
		retirements:        w.Retirements,
	}
	for _, wire := range w.Openings {
		intent, err := bookkeeper.IntentFromWire(wire.Intent)
		if err != nil {
			return Batch{}, err
		}
		o := Opening{intent: intent, keyProbe: wire.KeyProbe}
		if wire.Key != "" {
			if len(wire.Fingerprint) != len(o.fingerprint) {
				return Batch{}, errors.New("malformed opening: the fingerprint does not have the length of a SHA-256 hash")
			}
			o.key = claimer.NewKey(wire.Organisation, wire.Key)
			o.fingerprint = claimer.Fingerprint(wire.Fingerprint)
		}
		b.openings = append(b.openings, o)
	}
	for _, wire := range w.Closings {
		settlement, err := bookkeeper.SettlementFromWire(wire.Settlement)
		if err != nil {
			return Batch{}, err
		}
		c := Closing{settlement: settlement}
		if wire.Response != nil {
			c.response = claimer.ResponseFromWire(*wire.Response)
		}
		b.closings = append(b.closings, c)
	}
	for _, wire := range w.Draws {
		draw, err := bookkeeper.DrawFromWire(wire)
		if err != nil {
			return Batch{}, err
		}
		b.draws = append(b.draws, draw)
	}
	for _, wire := range w.ReplicatedIntents {
		intent, err := bookkeeper.IntentFromWire(wire)
		if err != nil {
			return Batch{}, err
		}
		b.replicatedIntents = append(b.replicatedIntents, intent)
	}
	b.swept = encoder.ProcessesFromWire(w.Swept)
	return b, nil
}
