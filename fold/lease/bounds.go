package lease

import "time"

// Bounds are upper bounds of how long the leases may still last that an owner and those before it have granted, counted from when the
// owner stopped granting leases.
type Bounds struct {
	// Others is the bound for all hosts that Hosts does not name, and for leases on later incarnations of any host.
	Others time.Duration `json:"others"`
	// Hosts holds the smaller bounds of single hosts, by their ids.
	Hosts map[string]time.Duration `json:"hosts,omitempty"`
}

// For returns the bound for a host.
func (b Bounds) For(host string) time.Duration {
	if bound, ok := b.Hosts[host]; ok {
		return min(bound, b.Others)
	}
	return b.Others
}
