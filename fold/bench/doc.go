// Package bench runs schedulers on synthetic workloads in virtual time and measures waiting time, packing and fairness.
package bench
