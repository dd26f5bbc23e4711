// Package bubble has timers for tests that run in a testing/synctest bubble.
package bubble
