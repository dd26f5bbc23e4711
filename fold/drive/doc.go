// Package drive runs the scheduler of a pool while this entry owns the pool. It writes records to the table, sends orders
// to hosts, handles their reports, follows new jobs and the roster, and spreads calls to the adviser over the entries.
package drive
