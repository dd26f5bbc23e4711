// Package audit checks the recorded history of a cell against the ten invariants, as far as callers and workers can
// observe them, and finds accepted tasks that were lost.
package audit
