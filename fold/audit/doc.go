// Package audit checks a recorded history of a cell against the ten invariants, as far as they show from outside.
package audit
