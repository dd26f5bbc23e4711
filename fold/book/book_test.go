package book_test

import (
	"testing"

	"plantainfold.example/fold"
	"plantainfold.example/fold/book"
)

// Guards against routing a request to a queue other than the one with the longest matching prefix, and against a key that
// yields another team.
func TestBook(t *testing.T) {
	b := book.New(fold.Rules{
		Queues: []fold.Queue{{Name: "short", Host: "h", Prefix: "/a/"}, {Name: "long", Host: "h", Prefix: "/a/b/"}, {Name: "other", Host: "i", Prefix: "/a/"}},
		Teams:  []fold.TeamRule{{Name: "crews", Keys: []string{"k1", "k2"}}},
	})
	cases := []struct{ host, path, queue, rest string }{
		{"h", "/a/x", "short", "x"},
		{"h", "/a/b/x", "long", "x"},
		{"i", "/a/b/x", "other", "b/x"},
		{"i", "/b/x", "", ""},
		{"j", "/a/x", "", ""},
	}
	for _, c := range cases {
		q, rest, ok := b.Queue(c.host, c.path)
		if q.Name != c.queue || rest != c.rest || ok != (c.queue != "") {
			t.Errorf("%s%s: queue %q, rest %q, want %q, %q", c.host, c.path, q.Name, rest, c.queue, c.rest)
		}
	}
	for _, c := range []struct{ key, team string }{{"k1", "crews"}, {"k2", "crews"}, {"k3", ""}, {"", ""}} {
		if team, ok := b.Team(c.key); team != c.team || ok != (c.team != "") {
			t.Errorf("key %q: team %q, want %q", c.key, team, c.team)
		}
	}
}
