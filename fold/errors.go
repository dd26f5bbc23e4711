package fold

import (
	"time"

	"github.com/joomcode/errorx"
)

// Errors is the namespace of all error kinds of plantainfold.
var Errors = errorx.NewNamespace("plantainfold")

// NotRun marks error kinds after which the work certainly did not run.
var NotRun = errorx.RegisterTrait("not run")

// Retryable marks error kinds after which the same call may succeed later.
var Retryable = errorx.RegisterTrait("retryable")

var remedyProperty = errorx.RegisterPrintableProperty("remedy")

// Error kinds; each refusal states a remedy through Refuse.
var (
	Invalid      = Errors.NewType("invalid", NotRun)
	Unauthorized = Errors.NewType("unauthorized", NotRun)
	Forbidden    = Errors.NewType("forbidden", NotRun)
	NotFound     = Errors.NewType("not found", NotRun)
	Gone         = Errors.NewType("gone", NotRun)
	Conflict     = Errors.NewType("conflict", NotRun)
	Outdated     = Errors.NewType("outdated revision", NotRun)
	TooLarge     = Errors.NewType("too large", NotRun)
	NeverFits    = Errors.NewType("can never run", NotRun)
	Overload     = Errors.NewType("overload", NotRun, Retryable)
	OverLimit    = Errors.NewType("over limit", NotRun, Retryable)
	Unavailable  = Errors.NewType("unavailable", NotRun, Retryable)
	Fenced       = Errors.NewType("fenced", NotRun)
	Unknown      = Errors.NewType("outcome unknown")
)

// Refuse returns an error of the kind with a detail and a remedy for the caller or operator.
func Refuse(kind *errorx.Type, remedy, format string, args ...any) *errorx.Error {
	return kind.New(format, args...).WithProperty(remedyProperty, remedy)
}

// Remedy returns what the caller or operator can do about err, or "".
func Remedy(err error) string {
	e := errorx.Cast(err)
	if e == nil {
		return ""
	}
	v, ok := e.Property(remedyProperty)
	if !ok {
		return ""
	}
	s, _ := v.(string)
	return s
}

var retryProperty = errorx.RegisterProperty("retry after")

// WithRetry adds to an error in how much time the same call may succeed.
func WithRetry(err *errorx.Error, after time.Duration) *errorx.Error {
	return err.WithProperty(retryProperty, after)
}

// RetryAfter returns in how much time the call that failed with err may succeed, or 0 when that is not known.
func RetryAfter(err error) time.Duration {
	e := errorx.Cast(err)
	if e == nil {
		return 0
	}
	v, _ := e.Property(retryProperty)
	after, _ := v.(time.Duration)
	return after
}

// DidNotRun reports whether err proves that the work did not run.
func DidNotRun(err error) bool {
	return errorx.HasTrait(err, NotRun)
}
