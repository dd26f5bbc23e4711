// Package store reads and writes typed records in the platform's table service. It groups commits, resolves commits whose
// reply was lost and guards the service with a circuit breaker.
package store
