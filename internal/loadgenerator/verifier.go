package loadgenerator

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"radishshed.example/radishshed/internal/operator"
)

const (
	settlementTimeout      = 15 * time.Second
	settlementPollInterval = 200 * time.Millisecond
)

// Verification is the result of comparing a report with the accounts and with the
// runs that the targets have recorded.
type Verification struct {
	Served    int      `json:"served"`
	Billed    int      `json:"billed"`
	Refused   int      `json:"refused"` // responses with an error code, also for requests that may have run
	Overspend int64    `json:"overspendMicrocredits"`
	Problems  []string `json:"problems"`
}

// Verify compares a report with the accounts of the fleet and with the runs that the
// targets have recorded. It first waits until no reservation is open,
// at most for settlementTimeout.
func (g *Generator) Verify(ctx context.Context, report *Report, client *operator.Client) (Verification, error) {
	v := Verification{Problems: report.Problems()}
	statements, err := g.settledStatements(ctx, client)
	if err != nil {
		return v, err
	}
	billed := map[string]int{}
	for _, s := range statements {
		sum := s.BroughtForward
		for _, charge := range s.Charges {
			billed[charge.Request]++
			sum += charge.AmountMicrocredits
		}
		if sum != s.Charged {
			v.Problems = append(v.Problems, s.Account+": the charges do not add up to the charged total")
		}
		if s.Prepaid != s.Charged+s.Reserved+s.Unspent+s.Free || s.Free < 0 || s.Reserved != 0 {
			v.Problems = append(v.Problems, s.Account+": the parts of the budget do not add up to the prepaid total, or a reservation is still open")
		}
		v.Overspend += max(0, s.Charged-s.Prepaid)
	}
	for request, times := range billed {
		v.Billed++
		if times > 1 {
			v.Problems = append(v.Problems, request+" was billed more than once")
		}
	}
	runs, err := g.runCounts(ctx)
	if err != nil {
		return v, err
	}
	for _, o := range report.Outcomes() {
		v.checkOutcome(o, billed, runs)
	}
	return v, nil
}

func (v *Verification) checkOutcome(o Outcome, billed, runs map[string]int) {
	switch {
	case o.Served():
		v.Served++
		if billed[o.RequestID()] != 1 {
			v.Problems = append(v.Problems, o.RequestID()+" was served but not billed exactly once")
		}
	case o.code != "":
		v.Refused++
	}
	if o.verdict == "notRun" && (billed[o.RequestID()] > 0 || runs[o.RequestID()] > 0) {
		v.Problems = append(v.Problems, o.RequestID()+" was run or billed although its verdict was notRun")
	}
	if runs[o.nonce] > 1 {
		v.Problems = append(v.Problems, o.RequestID()+" is not repeatable but was run more than once")
	}
}

// settledStatements returns the statements of all organisations of the mix once no
// reservation is open, or as they are after settlementTimeout.
func (g *Generator) settledStatements(ctx context.Context, client *operator.Client) ([]operator.Statement, error) {
	organisations := map[string]bool{}
	for _, kind := range g.mix.kinds {
		organisations[kind.organisation] = true
	}
	deadline := time.Now().Add(settlementTimeout)
	for {
		var statements []operator.Statement
		reserved := int64(0)
		for organisation := range organisations {
			response, err := client.SendToLeader(ctx, http.MethodGet, "/accounts/"+organisation, nil)
			if err == nil {
				err = response.Err()
			}
			if err != nil {
				return nil, errors.Wrap(err, organisation)
			}
			var w operator.Statements
			if err := json.Unmarshal(response.Body(), &w); err != nil {
				return nil, errors.Wrap(err, organisation)
			}
			for _, s := range w.Statements {
				reserved += s.Reserved
				statements = append(statements, s)
			}
		}
		if reserved == 0 || time.Now().After(deadline) {
			return statements, nil
		}
		time.Sleep(settlementPollInterval)
	}
}

// runCounts counts the runs that the targets of the mix have recorded, by request
// identifier and by the nonce in the request body.
func (g *Generator) runCounts(ctx context.Context) (map[string]int, error) {
	counts := map[string]int{}
	for _, target := range g.mix.targets {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+target+"/runs", nil)
		if err != nil {
			return nil, errors.Wrap(err, "create request for runs")
		}
		response, err := g.client.Do(request)
		if err != nil {
			return nil, errors.Wrapf(err, "fetch runs from %s", target)
		}
		var runs []struct {
			Request string `json:"request"`
			Body    string `json:"body"`
		}
		err = json.NewDecoder(response.Body).Decode(&runs)
		_ = response.Body.Close() // the body is not read any further
		if err != nil {
			return nil, errors.Wrapf(err, "decode runs from %s", target)
		}
		for _, run := range runs {
			counts[run.Request]++
			var body struct {
				Nonce string `json:"nonce"`
			}
			if json.Unmarshal([]byte(run.Body), &body) == nil && body.Nonce != "" {
				counts[body.Nonce]++
			}
		}
	}
	return counts, nil
}
