package spec

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"plantainfold.example/fold"
)

// Change is one difference between two manifests.
type Change struct {
	Path string `json:"path"`
	// From is the old value as JSON; it is empty if the value was added.
	From string `json:"from,omitempty"`
	// To is the new value as JSON; it is empty if the value was removed.
	To string `json:"to,omitempty"`
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

// Diff returns the changes from old to next, sorted by path. It matches list entries by name, so a new order of a list
// is not a change.
func Diff(old, next Manifest) ([]Change, error) {
	from, err := manifestTree(old)
	if err != nil {
		return nil, err
	}
	to, err := manifestTree(next)
	if err != nil {
		return nil, err
	}
	return diffNodes("", from, to), nil
}

// Summary joins the changes into one line. It shows changes up to limit bytes and then only the number of the others.
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

// manifestTree returns the manifest as nested maps; lists of objects become maps with the names of the objects as keys.
func manifestTree(m Manifest) (any, error) {
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
	return keyByName(v), nil
}

// keyByName replaces each list of objects in v by a map with the names of the objects as keys.
func keyByName(v any) any {
	switch node := v.(type) {
	case map[string]any:
		for k, child := range node {
			node[k] = keyByName(child)
		}
		return node
	case []any:
		named := make(map[string]any, len(node))
		for _, child := range node {
			entry, ok := child.(map[string]any)
			if !ok {
				return v
			}
			named[entryKey(entry)] = keyByName(entry)
		}
		return named
	default:
		return v
	}
}

// entryKey returns the key of a list entry: its name, or its kind and name for an entry of retire, where two kinds may
// have the same name.
func entryKey(entry map[string]any) string {
	name := fmt.Sprint(entry["name"])
	if _, retire := entry["grace"]; retire {
		return fmt.Sprint(entry["kind"]) + "." + name
	}
	return name
}

// diffNodes returns the changes between two nodes of the trees at the path. An added or removed list entry is one change.
func diffNodes(path string, from, to any) []Change {
	before, wasMap := from.(map[string]any)
	after, isMap := to.(map[string]any)
	if !wasMap && !isMap || (wasMap != isMap && from != nil && to != nil) {
		if formatNode(from) == formatNode(to) {
			return nil
		}
		return []Change{{Path: path, From: formatNode(from), To: formatNode(to)}}
	}
	if (from == nil || to == nil) && strings.Contains(path, ".") {
		return []Change{{Path: path, From: formatNode(from), To: formatNode(to)}}
	}
	all := maps.Clone(after)
	if all == nil {
		all = make(map[string]any)
	}
	maps.Copy(all, before)
	var changes []Change
	for _, k := range slices.Sorted(maps.Keys(all)) {
		changes = append(changes, diffNodes(strings.TrimPrefix(path+"."+k, "."), before[k], after[k])...)
	}
	return changes
}

// formatNode formats a node as JSON; a node that does not exist has an empty text.
func formatNode(v any) string {
	if v == nil {
		return ""
	}
	b, err := json.Marshal(v)
	if err != nil {
		return fmt.Sprint(v)
	}
	return string(b)
}
