package fold

import "context"

// Role is the function of an instance of the platform.
type Role string

// Roles of instances.
const (
	RoleWorker   Role = "worker"
	RoleEndpoint Role = "endpoint"
	RoleEntry    Role = "entry"
)

// InstanceState tells whether an instance accepts new work.
type InstanceState string

// States of instances in the platform's list.
const (
	Live    InstanceState = "live"
	Leaving InstanceState = "leaving"
)

// Instance is one element of the platform's instance list.
type Instance struct {
	Name     string        `json:"name"`
	Role     Role          `json:"role"`
	Address  string        `json:"address"`
	Region   string        `json:"region"`
	Domain   string        `json:"domain"`
	Rack     string        `json:"rack"`
	State    InstanceState `json:"state"`
	Capacity Resources     `json:"capacity"`
	Service  string        `json:"service,omitempty"`
	Slots    int           `json:"slots,omitempty"`
}

// Fleet is the platform's list of instances, which may lag behind their real state.
type Fleet interface {
	// Instances returns the live and leaving instances that the platform lists.
	Instances(ctx context.Context) ([]Instance, error)
}
