// Package bench drives schedulers with workloads in virtual time and measures them.
package bench
