package fold

import "github.com/joomcode/errorx"

var rowKeyProperty = errorx.RegisterPrintableProperty("key")

// ConflictOn returns a Conflict error for a transaction whose check of the row with the key failed.
func ConflictOn(key string) *errorx.Error {
	return Refuse(Conflict, "read the row again and retry", "row %q changed", key).WithProperty(rowKeyProperty, key)
}

// ConflictKey returns the key of the row whose check failed. It returns "" if err does not name a row.
func ConflictKey(err error) string {
	e := errorx.Cast(err)
	if e == nil {
		return ""
	}
	v, _ := e.Property(rowKeyProperty)
	key, _ := v.(string)
	return key
}
