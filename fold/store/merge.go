package store

import "plantainfold.example/fold"

// merge tracks the rows of the transactions that form one commit.
type merge struct {
	written map[string]bool
	checked map[string]int64
	rows    int
}

func newMerge() *merge {
	return &merge{written: make(map[string]bool), checked: make(map[string]int64)}
}

// fits reports whether a transaction is independent of those already added and does not exceed maxRows.
func (m *merge) fits(t fold.Txn) bool {
	if m.rows > 0 && m.rows+rowsOf(t) > maxRows {
		return false
	}
	for _, c := range t.Checks {
		version, seen := m.checked[c.Key]
		if m.written[c.Key] || (seen && version != c.Version) {
			return false
		}
	}
	for _, key := range keysOf(t) {
		if _, checked := m.checked[key]; m.written[key] || checked {
			return false
		}
	}
	return true
}

func (m *merge) add(t fold.Txn) {
	for _, c := range t.Checks {
		m.checked[c.Key] = c.Version
	}
	for _, key := range keysOf(t) {
		m.written[key] = true
	}
	m.rows += rowsOf(t)
}

// rowsOf returns the number of rows of a transaction. Checks count too, because the table service compares them.
func rowsOf(t fold.Txn) int {
	return len(t.Checks) + len(t.Puts) + len(t.Deletes)
}

// keysOf returns the keys of the rows that the transaction writes or deletes.
func keysOf(t fold.Txn) []string {
	keys := make([]string, 0, len(t.Puts)+len(t.Deletes))
	for _, p := range t.Puts {
		keys = append(keys, p.Key)
	}
	return append(keys, t.Deletes...)
}
