package app

import (
	"github.com/joomcode/errorx"

	"plantainfold.example/fold"
)

// errNotReached is the type of errors after a call that succeeded if the state that pfctl waited for was not reached.
var errNotReached = fold.Errors.NewType("not reached")

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	switch {
	case errorx.IsOfType(err, errNotReached):
		return exitNotReached
	case fold.DidNotRun(err):
		return exitRefused
	default:
		return exitUnknown
	}
}

// messageOf returns the message of an error without its remedy, which pfctl prints on a line of its own.
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
