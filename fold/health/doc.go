// Package health tells workers that fail everything from jobs that fail everywhere.
package health
