// Package conns sends orders to hosts over connections that are each known to belong to one incarnation of a host.
//
// An order names a host by its id, and a host may start again under the same id, without the fence and the runs of its earlier
// incarnation. A connection ends with the incarnation that accepted it. An order that is only sent on a connection on which the
// named incarnation has answered can therefore reach no later one, however late it is sent or carried out.
package conns
