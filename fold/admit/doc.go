// Package admit queues requests fairly between client accounts, within bounds of length and time.
package admit
