// Package drive carries out what the scheduler of a pool decides while this entry owns the pool: it writes records,
// sends orders to hosts, reads their reports, follows new jobs and the roster, and divides calls to the adviser among
// the entries.
package drive
