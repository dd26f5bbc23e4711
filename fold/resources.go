package fold

import "fmt"

// Resources is an amount of processor time, memory and accelerators.
type Resources struct {
	// CPU is the processor time in thousandths of a core.
	CPU int64 `json:"cpu"`
	// Memory is the amount of memory in MiB.
	Memory int64 `json:"memory"`
	// Accel is the number of accelerators.
	Accel int64 `json:"accel,omitempty"`
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{CPU: r.CPU + o.CPU, Memory: r.Memory + o.Memory, Accel: r.Accel + o.Accel}
}

// Sub returns r minus o. The result may be negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{CPU: r.CPU - o.CPU, Memory: r.Memory - o.Memory, Accel: r.Accel - o.Accel}
}

// Times returns r multiplied by n.
func (r Resources) Times(n int64) Resources {
	return Resources{CPU: r.CPU * n, Memory: r.Memory * n, Accel: r.Accel * n}
}

// Fits reports whether r fits within free in every dimension.
func (r Resources) Fits(free Resources) bool {
	return r.CPU <= free.CPU && r.Memory <= free.Memory && r.Accel <= free.Accel
}

// Negative reports whether any dimension is below zero.
func (r Resources) Negative() bool {
	return r.CPU < 0 || r.Memory < 0 || r.Accel < 0
}

// IsZero reports whether every dimension is zero.
func (r Resources) IsZero() bool {
	return r == Resources{}
}

// Min returns the smaller of r and o in each dimension.
func (r Resources) Min(o Resources) Resources {
	return Resources{CPU: min(r.CPU, o.CPU), Memory: min(r.Memory, o.Memory), Accel: min(r.Accel, o.Accel)}
}

// Max returns the larger of r and o in each dimension.
func (r Resources) Max(o Resources) Resources {
	return Resources{CPU: max(r.CPU, o.CPU), Memory: max(r.Memory, o.Memory), Accel: max(r.Accel, o.Accel)}
}

// Dominant returns the largest fraction of total that r uses in any dimension.
func (r Resources) Dominant(total Resources) float64 {
	return max(fraction(r.CPU, total.CPU), fraction(r.Memory, total.Memory), fraction(r.Accel, total.Accel))
}

// String formats r for logs and tables.
func (r Resources) String() string {
	return fmt.Sprintf("%.1f cores, %d MiB, %d accel", float64(r.CPU)/1000, r.Memory, r.Accel)
}

func fraction(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
