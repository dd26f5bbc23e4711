package route

// Budget limits retries to a fraction of the requests, so that retries do not amplify an overload. It is not safe for
// concurrent use.
type Budget struct {
	fraction  float64
	maxSaved  float64
	available float64
}

// NewBudget returns a budget that accumulates at most maxSaved retries and starts with that number.
func NewBudget(fraction, maxSaved float64) *Budget {
	return &Budget{fraction: fraction, maxSaved: maxSaved, available: maxSaved}
}

// Earn adds the fraction of a retry that one request earns.
func (b *Budget) Earn() {
	b.available = min(b.available+b.fraction, b.maxSaved)
}

// Spend uses one retry and reports whether one was available.
func (b *Budget) Spend() bool {
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}
