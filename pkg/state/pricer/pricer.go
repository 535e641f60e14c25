// Package pricer implements amounts of prepaid budget and overflow-checked arithmetic on
// them: an operation that would overflow returns an error.
package pricer

import (
	"math"
	"math/bits"

	"github.com/pkg/errors"
)

// Amount is an amount of budget in microcredits, the smallest unit.
type Amount int64

// ErrOverflow is returned when a result does not fit into an Amount.
var ErrOverflow = errors.New("amount does not fit into 63 bits")

// Add returns a+b. Neither may be negative.
func Add(a, b Amount) (Amount, error) {
	if a < 0 || b < 0 {
		return 0, errors.Errorf("negative amount: %d + %d", a, b)
	}
	if a > math.MaxInt64-b {
		return 0, ErrOverflow
	}
	return a + b, nil
}

// Multiply returns price*units. Neither may be negative.
func Multiply(price Amount, units int64) (Amount, error) {
	if price < 0 || units < 0 {
		return 0, errors.Errorf("negative factor: %d * %d", price, units)
	}
	high, low := bits.Mul64(uint64(price), uint64(units))
	if high != 0 || low > math.MaxInt64 {
		return 0, ErrOverflow
	}
	return Amount(low), nil
}

// Price is the price of using a service. All components are in microcredits.
type Price struct {
	perCall            Amount
	perPromptToken     Amount
	perCompletionToken Amount
}

// NewPrice returns a price. It returns an error if a component is negative.
func NewPrice(perCall, perPromptToken, perCompletionToken Amount) (Price, error) {
	if perCall < 0 || perPromptToken < 0 || perCompletionToken < 0 {
		return Price{}, errors.New("price has a negative component")
	}
	return Price{perCall, perPromptToken, perCompletionToken}, nil
}

// PerCall returns the fixed price of a call in microcredits.
func (p Price) PerCall() Amount { return p.perCall }

// PerPromptToken returns the price of one prompt token in microcredits.
func (p Price) PerPromptToken() Amount { return p.perPromptToken }

// PerCompletionToken returns the price of one generated token in microcredits.
func (p Price) PerCompletionToken() Amount { return p.perCompletionToken }

// Usage is the token consumption of a request. It is zero for a service without tokens.
type Usage struct {
	promptTokens     int64
	completionTokens int64
}

// NewUsage returns a usage. It returns an error if a count is negative.
func NewUsage(promptTokens, completionTokens int64) (Usage, error) {
	if promptTokens < 0 || completionTokens < 0 {
		return Usage{}, errors.New("token count is negative")
	}
	return Usage{promptTokens, completionTokens}, nil
}

// PromptTokens returns the number of prompt tokens.
func (u Usage) PromptTokens() int64 { return u.promptTokens }

// CompletionTokens returns the number of generated tokens.
func (u Usage) CompletionTokens() int64 { return u.completionTokens }

// Cost returns the cost of the usage at the price.
func Cost(p Price, u Usage) (Amount, error) {
	prompt, err := Multiply(p.perPromptToken, u.promptTokens)
	if err != nil {
		return 0, err
	}
	completion, err := Multiply(p.perCompletionToken, u.completionTokens)
	if err != nil {
		return 0, err
	}
	tokens, err := Add(prompt, completion)
	if err != nil {
		return 0, err
	}
	return Add(p.perCall, tokens)
}
