package spec

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"plantainfold.example/fold"
)

// Change is one difference between two manifests; From is empty for what was added, To for what was removed.
type Change struct {
	Path string `json:"path"`
	From string `json:"from,omitempty"`
	To   string `json:"to,omitempty"`
}

// String formats the change for people.
func (c Change) String() string {
	switch {
	case c.From == "":
		return fmt.Sprintf("+ %s: %s", c.Path, c.To)
	case c.To == "":
		return fmt.Sprintf("- %s: %s", c.Path, c.From)
	default:
		return fmt.Sprintf("~ %s: %s -> %s", c.Path, c.From, c.To)
	}
}

// Diff lists the changes from old to next in order of path. Entries of a list are matched by name, so that their
// order does not matter.
func Diff(old, next Manifest) ([]Change, error) {
	from, err := tree(old)
	if err != nil {
		return nil, err
	}
	to, err := tree(next)
	if err != nil {
		return nil, err
	}
	return compare("", from, to), nil
}

// Summary joins changes into one line of at most limit bytes.
func Summary(changes []Change, limit int) string {
	lines := make([]string, 0, len(changes))
	size := 0
	for i, c := range changes {
		line := c.String()
		if size += len(line) + len("; "); size > limit {
			lines = append(lines, fmt.Sprintf("and %d more", len(changes)-i))
			break
		}
		lines = append(lines, line)
	}
	if len(lines) == 0 {
		return "no difference"
	}
	return strings.Join(lines, "; ")
}

// tree returns the manifest as maps of maps, with lists of named entries keyed by name.
func tree(m Manifest) (any, error) {
	text, err := json.Marshal(m)
	if err != nil {
		return nil, fold.Invalid.Wrap(err, "encode manifest")
	}
	dec := json.NewDecoder(strings.NewReader(string(text)))
	dec.UseNumber()
	var v any
	if err := dec.Decode(&v); err != nil {
		return nil, fold.Invalid.Wrap(err, "decode manifest")
	}
	return keyed(v), nil
}

func keyed(v any) any {
	switch node := v.(type) {
	case map[string]any:
		for k, child := range node {
			node[k] = keyed(child)
		}
		return node
	case []any:
		named := make(map[string]any, len(node))
		for _, child := range node {
			entry, ok := child.(map[string]any)
			if !ok {
				return v
			}
			named[nameOf(entry)] = keyed(entry)
		}
		return named
	default:
		return v
	}
}

// nameOf returns the key of a list entry; entries of retire are told apart by kind and name.
func nameOf(entry map[string]any) string {
	name := fmt.Sprint(entry["name"])
	if _, retire := entry["grace"]; retire {
		return fmt.Sprint(entry["kind"]) + "." + name
	}
	return name
}

func compare(path string, from, to any) []Change {
	before, wasMap := from.(map[string]any)
	after, isMap := to.(map[string]any)
	if !wasMap && !isMap || (wasMap != isMap && from != nil && to != nil) {
		if text(from) == text(to) {
			return nil
		}
		return []Change{{Path: path, From: text(from), To: text(to)}}
	}
	if (from == nil || to == nil) && strings.Contains(path, ".") {
		return []Change{{Path: path, From: text(from), To: text(to)}}
	}
	all := maps.Clone(after)
	if all == nil {
		all = make(map[string]any)
	}
	maps.Copy(all, before)
	var changes []Change
	for _, k := range slices.Sorted(maps.Keys(all)) {
		changes = append(changes, compare(strings.TrimPrefix(path+"."+k, "."), before[k], after[k])...)
	}
	return changes
}

func text(v any) string {
	if v == nil {
		return ""
	}
	b, err := json.Marshal(v)
	if err != nil {
		return fmt.Sprint(v)
	}
	return string(b)
}
