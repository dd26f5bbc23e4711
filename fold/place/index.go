package place

import "plantainfold.example/fold"

// Node is one worker as the index sees it.
type Node struct {
	Name     string
	Domain   string
	Rack     string
	Capacity fold.Resources
	Used     fold.Resources
}

// Free returns the capacity that is not committed.
func (n Node) Free() fold.Resources {
	return n.Capacity.Sub(n.Used)
}

// Index holds the free capacity of workers.
type Index struct {
	nodes map[string]*Node
	order []string
}

// New returns an empty index.
func New() *Index {
	return &Index{nodes: make(map[string]*Node)}
}

// Add adds an idle worker or updates its capacity.
func (x *Index) Add(n Node) {
	if old, ok := x.nodes[n.Name]; ok {
		old.Capacity = n.Capacity
		return
	}
	x.nodes[n.Name] = &n
	x.order = append(x.order, n.Name)
}

// Remove drops a worker.
func (x *Index) Remove(name string) {
	delete(x.nodes, name)
	for i, other := range x.order {
		if other == name {
			x.order = append(x.order[:i], x.order[i+1:]...)
			return
		}
	}
}

// Node returns a worker.
func (x *Index) Node(name string) (Node, bool) {
	n, ok := x.nodes[name]
	if !ok {
		return Node{}, false
	}
	return *n, true
}

// Take commits r on a worker; it reports false and changes nothing if r does not fit.
func (x *Index) Take(name string, r fold.Resources) bool {
	n, ok := x.nodes[name]
	if !ok || !r.Fits(n.Free()) {
		return false
	}
	n.Used = n.Used.Add(r)
	return true
}

// Give returns r to a worker.
func (x *Index) Give(name string, r fold.Resources) {
	if n, ok := x.nodes[name]; ok {
		n.Used = n.Used.Sub(r)
	}
}

// Choose returns the worker with the least free capacity left after r, among those for which allow is true.
func (x *Index) Choose(r fold.Resources, allow func(Node) bool) (string, bool) {
	best, found := "", false
	least := 0.0
	for _, name := range x.order {
		n := x.nodes[name]
		if !r.Fits(n.Free()) || !allow(*n) {
			continue
		}
		left := n.Free().Sub(r).Dominant(n.Capacity)
		if !found || left < least {
			best, found, least = name, true, left
		}
	}
	return best, found
}

// Largest returns the largest capacity of any worker in each dimension.
func (x *Index) Largest() fold.Resources {
	var largest fold.Resources
	for _, n := range x.nodes {
		largest = largest.Max(n.Capacity)
	}
	return largest
}

// Totals returns the capacity and the committed part of all workers.
func (x *Index) Totals() (fold.Resources, fold.Resources) {
	var capacity, used fold.Resources
	for _, n := range x.nodes {
		capacity = capacity.Add(n.Capacity)
		used = used.Add(n.Used)
	}
	return capacity, used
}
