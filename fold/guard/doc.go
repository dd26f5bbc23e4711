// Package guard limits what callers can make an entry hold: open connections, and the memory of requests that are being read
// and decoded. Ledger makes the decisions; Gate applies them to the connections of an HTTP server.
//
// The limits apply to each connection from its first byte, before a key is checked. When a limit is reached, the connection
// that has made no progress for the longest time is closed, then the one whose body holds the most memory. A request that was
// read whole is never closed. One whose body the entry does not read yet is not closed for lack of progress. Bytes that the
// kernel has received are limited by the size of its buffers, which the Gate sets.
package guard
