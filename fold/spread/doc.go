// Package spread divides the tasks of a job among pools.
package spread
