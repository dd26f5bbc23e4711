// Package front serves callers at every entry. It accepts jobs, returns their state and accepts requests to cancel them. It
// passes these to the owner of the pool, or writes them to the table, where the owner finds them.
package front
