// Package relay supervises hosts for the owner of the pool: it renews their leases, reads their reports and
// sends them the owner's orders. The owner runs a relay of its own. In a large pool other entries run relays
// for a share of the hosts each, so that the owner's processor and network link only carry decisions.
//
// A relay decides nothing. It depends on two permissions of the owner, both of which expire by the clock of
// the relay's own entry. It renews leases and starts runs only while Permitted returns true, and it refuses orders
// that took too long to arrive.
package relay
