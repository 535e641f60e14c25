package cataloguer

// WireBudget is the CBOR form of a budget.
type WireBudget struct {
	_            struct{} `cbor:",toarray"`
	Organisation string
	Tokens       int64
}

// WireRecord is the CBOR form of a record.
type WireRecord struct {
	_        struct{} `cbor:",toarray"`
	Version  uint64
	Document []byte
	Budgets  []WireBudget
}

// RecordToWire returns the CBOR form of the record.
func RecordToWire(r Record) WireRecord {
	w := WireRecord{Version: r.version, Document: r.document}
	for _, b := range r.budgets {
		w.Budgets = append(w.Budgets, WireBudget{Organisation: b.organisation, Tokens: b.tokens})
	}
	return w
}

// RecordFromWire is the inverse of RecordToWire.
func RecordFromWire(w WireRecord) Record {
	r := Record{version: w.Version, document: w.Document}
	for _, b := range w.Budgets {
		r.budgets = append(r.budgets, Budget{b.Organisation, b.Tokens})
	}
	return r
}
