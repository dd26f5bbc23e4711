package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"strings"

	"github.com/tailscale/hujson"

	"plantainfold.example/fold"
)

// MaxBytes is the maximum size of a settings or manifest file.
const MaxBytes = 16 << 20

// Load reads the file and decodes it with Parse.
func Load[T any](path string) (T, error) {
	var zero T
	info, err := os.Stat(path)
	if err != nil {
		return zero, fold.Refuse(fold.Invalid, "name an existing file", "%s: %v", path, err)
	}
	if info.Size() > MaxBytes {
		return zero, fold.Refuse(fold.Invalid, "keep it under 16 MiB", "%s: the file has %d bytes", path, info.Size())
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return zero, fold.Refuse(fold.Invalid, "make the file readable", "%s: %v", path, err)
	}
	return Parse[T](path, text)
}

// Parse decodes JSON with comments. It returns an error that names the line for an unknown field or a wrong type.
func Parse[T any](name string, text []byte) (T, error) {
	var v T
	// The parser rejects a comment on the last line if no newline follows it, so one is appended.
	plain, err := hujson.Standardize(append(bytes.Clone(text), '\n'))
	if err != nil {
		return v, fold.Refuse(fold.Invalid, "correct the JSON syntax", "%s: %v", name, err)
	}
	dec := json.NewDecoder(bytes.NewReader(plain))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&v); err != nil {
		return v, locateError(name, plain, dec.InputOffset(), err)
	}
	if dec.More() {
		return v, fold.Refuse(fold.Invalid, "keep one JSON value in the file", "%s:%d: more than one value", name, lineAt(plain, dec.InputOffset()))
	}
	return v, nil
}

// locateError converts an error of the JSON decoder into one that names the line and a remedy.
func locateError(name string, text []byte, offset int64, err error) error {
	if wrongType, ok := errors.AsType[*json.UnmarshalTypeError](err); ok {
		return fold.Refuse(fold.Invalid, "write a "+wrongType.Type.String(),
			"%s:%d: field %s is a %s", name, lineAt(text, wrongType.Offset), wrongType.Field, wrongType.Value)
	}
	if field, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		at := bytes.Index(text, []byte(field))
		if at >= 0 {
			offset = int64(at)
		}
		return fold.Refuse(fold.Invalid, "remove the field or correct its name", "%s:%d: unknown field %s", name, lineAt(text, offset), field)
	}
	return fold.Refuse(fold.Invalid, "correct the value", "%s:%d: %v", name, lineAt(text, offset), err)
}

func lineAt(text []byte, offset int64) int {
	end := min(max(offset, 0), int64(len(text)))
	return 1 + bytes.Count(text[:end], []byte("\n"))
}
