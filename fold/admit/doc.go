// Package admit queues requests in proportion to the shares of their client accounts, and bounds the queue's length.
package admit
