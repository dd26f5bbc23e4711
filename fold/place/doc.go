// Package place chooses workers for tasks.
package place
