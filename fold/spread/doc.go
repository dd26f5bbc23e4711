// Package spread divides the tasks of a job over pools.
package spread
