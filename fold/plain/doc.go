// Package plain holds simple scheduling policies that the scheduler is measured against.
package plain
