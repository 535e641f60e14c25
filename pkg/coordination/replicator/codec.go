package replicator

import (
	"github.com/pkg/errors"

	"radishshed.example/radishshed/pkg/protocol/encoder"
)

type wireMembership struct {
	_        struct{} `cbor:",toarray"`
	Voters   []encoder.WireProcess
	Learners []encoder.WireProcess
}

type wireEntry struct {
	_     struct{} `cbor:",toarray"`
	Index uint64
	Term  uint64
	Kind  uint8
	Data  []byte
}

type wireSnapshot struct {
	_          struct{} `cbor:",toarray"`
	Index      uint64
	Term       uint64
	Membership wireMembership
	Data       []byte
}

type messageKind uint8

const (
	voteRequestKind messageKind = iota + 1
	voteResponseKind
	appendRequestKind
	appendResponseKind
	snapshotRequestKind
	campaignRequestKind
)

// wireMessage has the fields of all message kinds; each kind uses some of
// them. PreVoteOrSuccess marks a pre-vote or a successful append.
// ForcedOrGranted marks a forced vote request or a granted vote.
type wireMessage struct {
	_                struct{} `cbor:",toarray"`
	Kind             messageKind
	From             encoder.WireProcess
	To               encoder.WireProcess
	Term             uint64
	PreVoteOrSuccess bool
	ForcedOrGranted  bool
	Index            uint64
	IndexTerm        uint64
	Commit           uint64
	ReadSequence     uint64
	Entries          []wireEntry
	Snapshot         *wireSnapshot
}

// wireRecord is a journal record. It holds a vote, or an entry if Entry is
// set.
type wireRecord struct {
	_        struct{} `cbor:",toarray"`
	Term     uint64
	VotedFor encoder.WireProcess
	Entry    *wireEntry
}

// EncodeMessage returns the CBOR encoding of the message.
func EncodeMessage(message Message) ([]byte, error) {
	h := message.head()
	w := wireMessage{From: encoder.ProcessToWire(h.from), To: encoder.ProcessToWire(h.to), Term: h.term}
	switch m := message.(type) {
	case VoteRequest:
		w.Kind, w.PreVoteOrSuccess, w.ForcedOrGranted, w.Index, w.IndexTerm = voteRequestKind, m.preVote, m.forced, m.lastIndex, m.lastTerm
	case VoteResponse:
		w.Kind, w.PreVoteOrSuccess, w.ForcedOrGranted = voteResponseKind, m.preVote, m.granted
	case AppendRequest:
		w.Kind, w.Index, w.IndexTerm = appendRequestKind, m.previousIndex, m.previousTerm
		w.Commit, w.ReadSequence = m.commitIndex, m.readSequence
		for _, entry := range m.entries {
			w.Entries = append(w.Entries, entryToWire(entry))
		}
	case AppendResponse:
		w.Kind, w.PreVoteOrSuccess, w.Index, w.ReadSequence = appendResponseKind, m.success, m.index, m.readSequence
	case SnapshotRequest:
		s := snapshotToWire(m.snapshot)
		w.Kind, w.Snapshot = snapshotRequestKind, &s
	case CampaignRequest:
		w.Kind = campaignRequestKind
	default:
		return nil, errors.Errorf("replicator: unknown message %T", message)
	}
	return encoder.Marshal(w)
}

// DecodeMessage is the inverse of EncodeMessage.
func DecodeMessage(data []byte) (Message, error) {
	var w wireMessage
	if err := encoder.Unmarshal(data, &w); err != nil {
		return nil, err
	}
	h := header{encoder.ProcessFromWire(w.From), encoder.ProcessFromWire(w.To), w.Term}
	switch w.Kind {
	case voteRequestKind:
		return VoteRequest{h, w.PreVoteOrSuccess, w.ForcedOrGranted, w.Index, w.IndexTerm}, nil
	case voteResponseKind:
		return VoteResponse{h, w.PreVoteOrSuccess, w.ForcedOrGranted}, nil
	case appendRequestKind:
		entries, err := entriesFromWire(w.Entries, w.Index+1)
		return AppendRequest{h, w.Index, w.IndexTerm, entries, w.Commit, w.ReadSequence}, err
	case appendResponseKind:
		return AppendResponse{h, w.PreVoteOrSuccess, w.Index, w.ReadSequence}, nil
	case snapshotRequestKind:
		if w.Snapshot == nil {
			return nil, errors.New("replicator: snapshot request without a snapshot")
		}
		return SnapshotRequest{h, snapshotFromWire(*w.Snapshot)}, nil
	case campaignRequestKind:
		return CampaignRequest{h}, nil
	default:
		return nil, errors.Errorf("replicator: unknown message kind %d", w.Kind)
	}
}

// entriesFromWire returns an error unless the indexes of the entries are
// consecutive and start at first.
func entriesFromWire(wire []wireEntry, first uint64) ([]Entry, error) {
	entries := make([]Entry, 0, len(wire))
	for i, w := range wire {
		if w.Index != first+uint64(i) {
			return nil, errors.Errorf("replicator: entry has index %d, expected %d", w.Index, first+uint64(i))
		}
		entries = append(entries, entryFromWire(w))
	}
	return entries, nil
}

// EncodeVote returns the journal record for the vote.
func EncodeVote(v Vote) ([]byte, error) {
	return encoder.Marshal(wireRecord{Term: v.term, VotedFor: encoder.ProcessToWire(v.votedFor)})
}

// EncodeEntry returns the journal record for the entry.
func EncodeEntry(e Entry) ([]byte, error) {
	w := entryToWire(e)
	return encoder.Marshal(wireRecord{Entry: &w})
}

// EncodeSnapshot returns the encoding of the snapshot that is stored beside
// the journal.
func EncodeSnapshot(s Snapshot) ([]byte, error) { return encoder.Marshal(snapshotToWire(s)) }

// Recover decodes a member's durable state from its snapshot, which may be
// nil, and its journal records.
func Recover(snapshot []byte, records [][]byte) (RecoveredState, error) {
	var recovered RecoveredState
	if snapshot != nil {
		var w wireSnapshot
		if err := encoder.Unmarshal(snapshot, &w); err != nil {
			return RecoveredState{}, errors.Wrap(err, "decode snapshot")
		}
		recovered.Snapshot = snapshotFromWire(w)
	}
	for i, record := range records {
		var w wireRecord
		if err := encoder.Unmarshal(record, &w); err != nil {
			return RecoveredState{}, errors.Wrapf(err, "decode journal record %d", i)
		}
		if w.Entry == nil {
			recovered.Vote = Vote{w.Term, encoder.ProcessFromWire(w.VotedFor)}
			continue
		}
		recovered.Entries = append(recovered.Entries, entryFromWire(*w.Entry))
	}
	return recovered, nil
}

func encodeMembership(m Membership) ([]byte, error) { return encoder.Marshal(membershipToWire(m)) }

func decodeMembership(data []byte) (Membership, error) {
	var w wireMembership
	err := encoder.Unmarshal(data, &w)
	return membershipFromWire(w), err
}

func membershipToWire(m Membership) wireMembership {
	return wireMembership{Voters: encoder.ProcessesToWire(m.voters), Learners: encoder.ProcessesToWire(m.learners)}
}

func membershipFromWire(w wireMembership) Membership {
	return Membership{encoder.ProcessesFromWire(w.Voters), encoder.ProcessesFromWire(w.Learners)}
}

func entryToWire(e Entry) wireEntry {
	return wireEntry{Index: e.index, Term: e.term, Kind: uint8(e.kind), Data: e.data}
}

func entryFromWire(w wireEntry) Entry { return Entry{w.Index, w.Term, EntryKind(w.Kind), w.Data} }

func snapshotToWire(s Snapshot) wireSnapshot {
	return wireSnapshot{Index: s.index, Term: s.term, Membership: membershipToWire(s.membership), Data: s.data}
}

func snapshotFromWire(w wireSnapshot) Snapshot {
	return Snapshot{w.Index, w.Term, membershipFromWire(w.Membership), w.Data}
}
