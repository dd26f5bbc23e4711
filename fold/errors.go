package fold

import (
	"time"

	"github.com/joomcode/errorx"
)

// Errors is the namespace of all error kinds of plantainfold.
var Errors = errorx.NewNamespace("plantainfold")

// NotRun is the trait of error kinds that prove that the work was not executed.
var NotRun = errorx.RegisterTrait("not run")

// Retryable is the trait of error kinds after which the same call may succeed later.
var Retryable = errorx.RegisterTrait("retryable")

var remedyProperty = errorx.RegisterPrintableProperty("remedy")

// Error kinds. Refuse makes an error of a kind with a remedy.
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

// Refuse returns an error of the kind. The remedy tells the caller or operator what to do; format and args give the detail.
func Refuse(kind *errorx.Type, remedy, format string, args ...any) *errorx.Error {
	return kind.New(format, args...).WithProperty(remedyProperty, remedy)
}

// Remedy returns the remedy that Refuse stored in err, or "" if there is none.
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

// WithRetry returns err with the delay after which the caller should retry.
func WithRetry(err *errorx.Error, after time.Duration) *errorx.Error {
	return err.WithProperty(retryProperty, after)
}

// RetryAfter returns the delay after which the failed call should be retried, or 0 if err has none.
func RetryAfter(err error) time.Duration {
	e := errorx.Cast(err)
	if e == nil {
		return 0
	}
	v, _ := e.Property(retryProperty)
	after, _ := v.(time.Duration)
	return after
}

// DidNotRun reports whether err proves that the work was not executed.
func DidNotRun(err error) bool {
	return errorx.HasTrait(err, NotRun)
}
