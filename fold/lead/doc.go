// Package lead decides which entry owns the pool of hosts. The owner is named by one row, which it rewrites with every
// record that it commits. An entry that has seen the row unchanged for a while takes it over with a higher epoch. The
// condition on the row and the fences at the hosts keep an outdated owner from doing harm, so no clock has to be trusted
// for safety.
package lead
