// Package owner tracks the membership of entries. It decides which entry owns each pool and claim range, and which
// entries are permitted to start tasks and grant claims.
package owner
