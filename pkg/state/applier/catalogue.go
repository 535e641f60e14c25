package applier

import (
	"radishshed.example/radishshed/pkg/state/cataloguer"
	"radishshed.example/radishshed/pkg/state/escrower"
)

// SubmitCatalogue puts a routing catalogue into force if its version is higher
// than that of the catalogue in force.
type SubmitCatalogue struct{ record cataloguer.Record }

// NewSubmitCatalogue returns the command that submits the catalogue.
func NewSubmitCatalogue(r cataloguer.Record) SubmitCatalogue { return SubmitCatalogue{r} }

// ReportSpending records a router's report of its spending from token budgets.
type ReportSpending struct{ report escrower.Report }

// NewReportSpending returns the command that records the report.
func NewReportSpending(r escrower.Report) ReportSpending { return ReportSpending{r} }

// CatalogueResult is the outcome of SubmitCatalogue.
type CatalogueResult struct {
	versionInForce uint64
	changed        bool
}

// VersionInForce returns the version of the catalogue in force.
func (c CatalogueResult) VersionInForce() uint64 { return c.versionInForce }

// Changed reports whether the submitted catalogue has come into force.
func (c CatalogueResult) Changed() bool { return c.changed }

// SpendingResult is the outcome of ReportSpending.
type SpendingResult struct {
	response escrower.Response
	err      error
}

// Response returns the grants of the router, or an error that says why the report
// was refused.
func (s SpendingResult) Response() (escrower.Response, error) { return s.response, s.err }

func (CatalogueResult) isResult() {}
func (SpendingResult) isResult()  {}

// Catalogue returns the catalogue in force. It is zero before the first
// catalogue has been submitted.
func (s *State) Catalogue() cataloguer.Record { return s.catalogue }

// Escrow returns the ledger of token budgets.
func (s *State) Escrow() *escrower.Ledger { return s.escrow }

func (s *State) submitCatalogue(r cataloguer.Record) CatalogueResult {
	if r.Version() <= s.catalogue.Version() {
		return CatalogueResult{versionInForce: s.catalogue.Version()}
	}
	s.catalogue = r
	for _, b := range r.Budgets() {
		s.escrow.SetPrepaid(b.Organisation(), b.Tokens())
	}
	return CatalogueResult{versionInForce: r.Version(), changed: true}
}
