// Package place indexes workers by free capacity and chooses workers for tasks.
package place
