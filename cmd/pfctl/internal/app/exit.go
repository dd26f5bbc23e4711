package app

import (
	"github.com/joomcode/errorx"

	"plantainfold.example/fold"
)

// unmet marks errors of calls that succeeded but whose awaited state did not come.
var unmet = fold.Errors.NewType("not reached")

// exitOf returns the exit code for an error.
func exitOf(err error) int {
	switch {
	case errorx.IsOfType(err, unmet):
		return exitUnmet
	case fold.DidNotRun(err):
		return exitRefused
	default:
		return exitUnknown
	}
}

// messageOf returns the message of an error without the remedy, which is printed on its own line.
func messageOf(err error) string {
	e := errorx.Cast(err)
	if e == nil {
		return err.Error()
	}
	text := e.Type().FullName() + ": " + e.Message()
	if e.Cause() != nil {
		text += ": " + e.Cause().Error()
	}
	return text
}
