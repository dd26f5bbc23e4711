// Package place indexes the free capacity of workers and chooses workers for tasks.
package place
