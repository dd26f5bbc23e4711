// Package plain holds simple scheduling policies that serve as a baseline for the scheduler.
package plain
