// Package classifier defines verdicts, which say whether a request may have been
// executed.
//
// Every response to a caller carries one verdict. It tells the caller whether a
// retry is safe.
package classifier

import "github.com/pkg/errors"

// Header is the name of the HTTP header that carries the verdict.
const Header = "Radishshed-Verdict"

// Verdict says whether a request may have been executed by a target. It is a sealed
// interface: NotRun, MayHaveRun and Ran are its only implementations.
type Verdict interface {
	// String returns the name that is used on the wire and in logs.
	String() string
	isVerdict()
}

// NotRun means that no target received any byte of the request.
type NotRun struct{}

// MayHaveRun means that a target may have received the request and that the outcome
// is unknown.
type MayHaveRun struct{}

// Ran means that a target executed the request to completion.
type Ran struct{}

func (NotRun) String() string     { return "notRun" }
func (MayHaveRun) String() string { return "mayHaveRun" }
func (Ran) String() string        { return "ran" }

func (NotRun) isVerdict()     {}
func (MayHaveRun) isVerdict() {}
func (Ran) isVerdict()        {}

// Parse returns the verdict with the given wire name.
func Parse(name string) (Verdict, error) {
	for _, v := range []Verdict{NotRun{}, MayHaveRun{}, Ran{}} {
		if v.String() == name {
			return v, nil
		}
	}
	return nil, errors.Errorf("unknown verdict %q, want notRun, mayHaveRun or ran", name)
}
