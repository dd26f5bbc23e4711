// Package lead decides which entry owns the pool of hosts. One row of the table names the owner, which rewrites it with
// every commit. An entry that has seen the row unchanged for a while takes the pool over with a higher epoch. The check on
// the row and the fences at the hosts stop an outdated owner, so safety does not depend on clocks.
package lead
