package fold

import "github.com/joomcode/errorx"

var keyProperty = errorx.RegisterPrintableProperty("key")

// ConflictOn returns a Conflict error that names the row whose check failed.
func ConflictOn(key string) *errorx.Error {
	return Refuse(Conflict, "read the row again and retry", "row %q changed", key).WithProperty(keyProperty, key)
}

// ConflictKey returns the row whose check failed, or "" if err does not name it.
func ConflictKey(err error) string {
	e := errorx.Cast(err)
	if e == nil {
		return ""
	}
	v, _ := e.Property(keyProperty)
	key, _ := v.(string)
	return key
}
