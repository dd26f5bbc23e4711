// Package drive runs the scheduler of a pool while this entry owns the pool. It writes records to the table, sends orders
// to hosts, handles their reports, follows new jobs and the roster, and spreads calls to the adviser over the entries. The
// state of the pool is in a core.Cell, called the cell, which makes the decisions.
package drive
