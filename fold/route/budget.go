package route

// Budget allows retries up to a fraction of the requests, so that retries cannot multiply an overload. It is not safe for
// concurrent use.
type Budget struct {
	fraction float64
	most     float64
	left     float64
}

// NewBudget returns a budget that saves up at most the given number of retries and starts with them.
func NewBudget(fraction, most float64) *Budget {
	return &Budget{fraction: fraction, most: most, left: most}
}

// Earn adds the fraction that one request allows.
func (b *Budget) Earn() {
	b.left = min(b.left+b.fraction, b.most)
}

// Spend takes one retry and reports whether there was one left.
func (b *Budget) Spend() bool {
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}
