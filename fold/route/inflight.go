package route

// Inflight returns how many requests are in flight at an endpoint, or at all endpoints if name is empty.
func (t *Table) Inflight(name string) int {
	sum := 0
	for id, one := range t.targets {
		if name == "" || id == name {
			sum += one.inflight
		}
	}
	return sum
}
