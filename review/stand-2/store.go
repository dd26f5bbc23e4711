package main

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the store.
type row struct {
	value   []byte
	version int64
}

// change is an entry of the store's history.
type change struct {
	key     string
	version int64
	value   []byte
	deleted bool
	at      time.Time
}

// fault is how the store treats the calls of one caller.
type fault struct {
	// mode is "", "busy" (503), "silent" (no answer) or "reset".
	mode string
	// delay is added to each call.
	delay time.Duration
	// lost is the share of the writes that get no answer. late is the share of these that are carried out 1 to 6 s later.
	lost, late float64
}

// store is the platform's row store. Each caller has an address of its own, so that faults can differ.
type store struct {
	mu      sync.Mutex
	rows    map[string]row
	version int64
	history []change
	oldest  int64
	changed chan struct{}
	faults  map[string]fault
	rec     *recorder
	// onCommit is called after each applied transaction of a caller with the keys that it wrote.
	onCommit func(caller string, keys []string)
}

const (
	storeTime    = 4 * time.Millisecond
	historyTime  = 20 * time.Second
	maxStoreRows = 500
)

func newStore(rec *recorder) *store {
	return &store{rows: map[string]row{}, changed: make(chan struct{}), faults: map[string]fault{}, rec: rec}
}

func (s *store) setFault(caller string, f fault) {
	s.mu.Lock()
	s.faults[caller] = f
	s.mu.Unlock()
}

func (s *store) fault(caller string) fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f, ok := s.faults[caller]; ok && f != (fault{}) {
		return f
	}
	return s.faults[""]
}

type wireRow struct {
	Table      string `json:"table"`
	Part       string `json:"part"`
	Key        string `json:"key"`
	Value      []byte `json:"value,omitempty"`
	RowVersion *int64 `json:"row_version,omitempty"`
	Deleted    bool   `json:"deleted,omitempty"`
}

func (r wireRow) id() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

func wireOf(id string, value []byte, version int64, deleted bool) wireRow {
	p := strings.SplitN(id, "\x00", 3)
	return wireRow{Table: p[0], Part: p[1], Key: p[2], Value: value, RowVersion: &version, Deleted: deleted}
}

type txn struct {
	Expected []wireRow `json:"expected_rev"`
	Writes   []wireRow `json:"writes"`
	Remove   []wireRow `json:"remove"`
}

// commit applies a transaction, or returns the current rows of its conditions.
func (s *store) commit(caller string, t txn) (int64, []wireRow, bool) {
	s.mu.Lock()
	var current []wireRow
	ok := true
	for _, e := range t.Expected {
		found, exists := s.rows[e.id()]
		if exists {
			current = append(current, wireOf(e.id(), found.value, found.version, false))
		}
		want := int64(0)
		if e.RowVersion != nil {
			want = *e.RowVersion
		}
		if found.version != want {
			ok = false
		}
	}
	if !ok {
		s.mu.Unlock()
		return 0, current, false
	}
	s.version++
	now := time.Now()
	var keys []string
	for _, w := range t.Writes {
		s.rows[w.id()] = row{w.Value, s.version}
		s.history = append(s.history, change{w.id(), s.version, w.Value, false, now})
		keys = append(keys, w.Table+"/"+w.Key)
	}
	for _, w := range t.Remove {
		if _, exists := s.rows[w.id()]; exists {
			delete(s.rows, w.id())
			s.history = append(s.history, change{w.id(), s.version, nil, true, now})
		}
	}
	for len(s.history) > 0 && now.Sub(s.history[0].at) > historyTime {
		s.oldest = s.history[0].version
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
	version, fn := s.version, s.onCommit
	s.mu.Unlock()
	if fn != nil {
		fn(caller, keys)
	}
	return version, nil, true
}

// put writes a row for the operator or a worker.
func (s *store) put(table, key string, value any) {
	text, _ := json.Marshal(value)
	s.commit("", txn{Writes: []wireRow{{Table: table, Key: key, Value: text}}})
}

func (s *store) remove(table, key string) {
	s.commit("", txn{Remove: []wireRow{{Table: table, Key: key}}})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// hang answers nothing until the caller has gone.
func hang(r *http.Request) {
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// admit applies the fault of a caller and reports whether the call goes on.
func (s *store) admit(caller string, w http.ResponseWriter, r *http.Request) (fault, bool) {
	f := s.fault(caller)
	switch f.mode {
	case "busy":
		w.WriteHeader(http.StatusServiceUnavailable)
		return f, false
	case "silent":
		hang(r)
	case "reset":
		panic(http.ErrAbortHandler)
	}
	time.Sleep(storeTime + f.delay)
	return f, true
}

// serve opens an address of the store for a caller.
func (s *store) serve(caller string) string {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/rows-tx", func(w http.ResponseWriter, r *http.Request) {
		text, err := io.ReadAll(r.Body)
		var t txn
		if err != nil || json.Unmarshal(text, &t) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		for _, x := range append(slices.Clone(t.Writes), t.Remove...) {
			if x.Table == "op" || x.Table == "servers" {
				w.WriteHeader(http.StatusForbidden)
				return
			}
		}
		f, ok := s.admit(caller, w, r)
		if !ok {
			return
		}
		if rand.Float64() < f.lost {
			if rand.Float64() < f.late {
				go func() {
					time.Sleep(time.Second + time.Duration(rand.Int64N(int64(5*time.Second))))
					s.commit(caller, t)
				}()
			} else {
				s.commit(caller, t)
			}
			hang(r)
		}
		version, current, ok := s.commit(caller, t)
		if !ok {
			reply(w, http.StatusPreconditionFailed, map[string]any{"rows": append([]wireRow{}, current...)})
			return
		}
		reply(w, http.StatusOK, map[string]any{"row_version": version, "server_time_ms": time.Now().UnixMilli()})
	})
	mux.HandleFunc("GET /-/rows-get", func(w http.ResponseWriter, r *http.Request) {
		if _, ok := s.admit(caller, w, r); !ok {
			return
		}
		q := r.URL.Query()
		limit, _ := strconv.Atoi(q.Get("limit"))
		if limit <= 0 || limit > maxStoreRows {
			limit = maxStoreRows
		}
		prefix := q.Get("table") + "\x00" + q.Get("part") + "\x00"
		s.mu.Lock()
		var ids []string
		for id := range s.rows {
			key, ok := strings.CutPrefix(id, prefix)
			if ok && key >= q.Get("range_start") && (q.Get("to") == "" || key < q.Get("to")) {
				ids = append(ids, id)
			}
		}
		slices.Sort(ids)
		rows, size, more := []wireRow{}, 0, false
		for _, id := range ids {
			size += len(s.rows[id].value)*4/3 + len(id) + 60
			if len(rows) == limit || len(rows) > 0 && size > 1<<20 {
				more = true
				break
			}
			rows = append(rows, wireOf(id, s.rows[id].value, s.rows[id].version, false))
		}
		version := s.version
		s.mu.Unlock()
		reply(w, http.StatusOK, map[string]any{"rows": rows, "has_more": more, "row_version": version, "server_time_ms": time.Now().UnixMilli()})
	})
	mux.HandleFunc("GET /-/rows-feed", func(w http.ResponseWriter, r *http.Request) {
		if _, ok := s.admit(caller, w, r); !ok {
			return
		}
		q := r.URL.Query()
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		prefix := q.Get("table") + "\x00"
		limit := time.After(time.Duration(wait) * time.Millisecond)
		for {
			s.mu.Lock()
			if after < s.oldest {
				s.mu.Unlock()
				w.WriteHeader(http.StatusGone)
				return
			}
			last := map[string]change{}
			for _, c := range s.history {
				if c.version > after && strings.HasPrefix(c.key, prefix) {
					last[c.key] = c
				}
			}
			version, changed := s.version, s.changed
			s.mu.Unlock()
			done := len(last) > 0
			if !done {
				select {
				case <-changed:
					continue
				case <-limit:
				case <-r.Context().Done():
					return
				}
			}
			found := make([]change, 0, len(last))
			for _, c := range last {
				found = append(found, c)
			}
			slices.SortFunc(found, func(a, b change) int { return int(a.version - b.version) })
			rows := []wireRow{}
			for _, c := range found {
				rows = append(rows, wireOf(c.key, c.value, c.version, c.deleted))
			}
			if f := s.fault(caller); f.mode != "" {
				hang(r)
			}
			reply(w, http.StatusOK, map[string]any{"rows": rows, "row_version": version, "server_time_ms": time.Now().UnixMilli()})
			return
		}
	})
	return serveAt(mux)
}

// serveAt serves a handler at a free loopback port and returns the address.
func serveAt(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("cannot listen: %v", err)
	}
	server := &http.Server{Handler: h, ErrorLog: quiet()}
	go func() { _ = server.Serve(l) }()
	return l.Addr().String()
}
