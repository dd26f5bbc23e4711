package guard

import "net"

// Wrap returns a listener that accepts the connections of another one through the gate.
func (g *Gate) Wrap(l net.Listener) net.Listener {
	return &listener{Listener: l, gate: g}
}
