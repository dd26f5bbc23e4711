package main

import (
	"encoding/base64"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store that the users' pages state.
const (
	maxEntries  = 100
	maxTxBytes  = 1 << 20
	maxRowBytes = 65536
	maxText     = 200
	maxPageRows = 500
	answerTime  = 4 * time.Millisecond
	txTime      = 3 * time.Millisecond
)

// rowRef is a row of a call.
type rowRef struct {
	Table      string `json:"table"`
	Part       string `json:"part"`
	Key        string `json:"key"`
	Value      string `json:"value,omitempty"`
	RowVersion int64  `json:"row_version"`
	Deleted    bool   `json:"deleted,omitempty"`
}

// change is an entry of the history.
type change struct {
	row rowRef
	at  time.Time
}

// store is a stand-in for the platform's metadata store, as PROTOCOL.md describes it.
type store struct {
	mu      sync.Mutex
	changed chan struct{}
	rows    map[string]map[string]rowRef
	version int64
	// history holds the changes of the last historyTime. discarded is the version of the newest change that was dropped.
	history     []change
	historyTime time.Duration
	discarded   int64
	start       time.Time
	// busy makes the store answer 503 to calls of the entries.
	busy bool
	// slow multiplies the time of an answer.
	slow int
	// onCommit is called with the rows of each transaction that was applied, before it is answered.
	onCommit func(writes []rowRef)
	// rejected counts transactions that were refused with 400 or 413, and lastRejected tells why.
	rejected     int
	lastRejected string
	// part serializes the transactions.
	part sync.Mutex
}

func newStore() *store {
	return &store{changed: make(chan struct{}), rows: make(map[string]map[string]rowRef), historyTime: time.Hour, start: time.Now(), slow: 1}
}

func rowKey(part, key string) string { return part + "\x00" + key }

// put writes rows for the operator or the workers, which the entries' limits do not concern.
func (s *store) put(table, key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(rowRef{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(value)})
	s.publish()
	return s.version
}

// value returns the value of a row, or nil.
func (s *store) value(table, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.rows[table][rowKey("", key)]
	if !ok {
		return nil
	}
	v, _ := base64.StdEncoding.DecodeString(r.Value)
	return v
}

func (s *store) apply(r rowRef) {
	t := s.rows[r.Table]
	if t == nil {
		t = make(map[string]rowRef)
		s.rows[r.Table] = t
	}
	r.RowVersion = s.version
	if r.Deleted {
		if _, ok := t[rowKey(r.Part, r.Key)]; !ok {
			return
		}
		r.Value = ""
		delete(t, rowKey(r.Part, r.Key))
	} else {
		t[rowKey(r.Part, r.Key)] = r
	}
	s.history = append(s.history, change{row: r, at: time.Now()})
}

func (s *store) publish() {
	cut := time.Now().Add(-s.historyTime)
	n := 0
	for n < len(s.history) && s.history[n].at.Before(cut) {
		s.discarded = s.history[n].row.RowVersion
		n++
	}
	s.history = s.history[n:]
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) setBusy(on bool) {
	s.mu.Lock()
	s.busy = on
	s.mu.Unlock()
}

func (s *store) setSlow(x int) {
	s.mu.Lock()
	s.slow = x
	s.mu.Unlock()
}

func (s *store) setOnCommit(fn func(writes []rowRef)) {
	s.mu.Lock()
	s.onCommit = fn
	s.mu.Unlock()
}

// ServeHTTP serves the calls of the entries.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	busy, slow := s.busy, time.Duration(s.slow)
	s.mu.Unlock()
	if busy {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/-/rows-tx":
		s.serveTx(w, r, slow)
	case "/-/rows-get":
		time.Sleep(answerTime * slow)
		s.serveGet(w, r)
	case "/-/rows-feed":
		time.Sleep(answerTime * slow)
		s.serveFeed(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) refuse(w http.ResponseWriter, status int, why string) {
	s.mu.Lock()
	s.rejected++
	s.lastRejected = why
	s.mu.Unlock()
	http.Error(w, why, status)
}

func (s *store) serveTx(w http.ResponseWriter, r *http.Request, slow time.Duration) {
	text, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var in struct {
		Expected []rowRef `json:"expected_rev"`
		Writes   []rowRef `json:"writes"`
		Remove   []rowRef `json:"remove"`
	}
	if err := json.Unmarshal(text, &in); err != nil {
		s.refuse(w, http.StatusBadRequest, "the body cannot be read: "+err.Error())
		return
	}
	if len(text) > maxTxBytes {
		s.refuse(w, http.StatusRequestEntityTooLarge, "the call has more than 1 MB")
		return
	}
	if len(in.Expected)+len(in.Writes)+len(in.Remove) > maxEntries {
		s.refuse(w, http.StatusBadRequest, "the call has more than 100 entries")
		return
	}
	for _, e := range in.Writes {
		v, err := base64.StdEncoding.DecodeString(e.Value)
		if err != nil || len(v) > maxRowBytes {
			s.refuse(w, http.StatusBadRequest, "the value of "+e.Table+"/"+e.Key+" has "+strconv.Itoa(len(v))+" bytes, more than row_bytes = "+strconv.Itoa(maxRowBytes))
			return
		}
	}
	for _, e := range append(append([]rowRef{}, in.Writes...), in.Remove...) {
		if e.Table == "op" || e.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if len(e.Table) > maxText || len(e.Key) > maxText {
			s.refuse(w, http.StatusBadRequest, "a text has more than 200 bytes")
			return
		}
	}
	// A part handles one transaction after another.
	s.part.Lock()
	time.Sleep(txTime)
	s.mu.Lock()
	var failed []rowRef
	ok := true
	for _, e := range in.Expected {
		current, found := s.rows[e.Table][rowKey(e.Part, e.Key)]
		if found {
			failed = append(failed, current)
		}
		if current.RowVersion != e.RowVersion {
			ok = false
		}
	}
	var version int64
	if ok {
		s.version++
		for _, e := range in.Writes {
			s.apply(rowRef{Table: e.Table, Part: e.Part, Key: e.Key, Value: e.Value})
		}
		for _, e := range in.Remove {
			s.apply(rowRef{Table: e.Table, Part: e.Part, Key: e.Key, Deleted: true})
		}
		s.publish()
	}
	version = s.version
	onCommit := s.onCommit
	s.mu.Unlock()
	s.part.Unlock()
	if ok && onCommit != nil {
		onCommit(in.Writes)
	}
	time.Sleep(answerTime * slow)
	if !ok {
		answer(w, http.StatusPreconditionFailed, map[string]any{"rows": failed, "row_version": version, "server_time_ms": s.clock()})
		return
	}
	answer(w, http.StatusOK, map[string]any{"row_version": version, "server_time_ms": s.clock()})
}

func (s *store) clock() int64 { return time.Since(s.start).Milliseconds() }

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > maxPageRows {
		limit = maxPageRows
	}
	s.mu.Lock()
	var keys []string
	for k, row := range s.rows[q.Get("table")] {
		if strings.HasPrefix(k, rowKey(q.Get("part"), "")) && row.Key >= q.Get("range_start") && (q.Get("to") == "" || row.Key < q.Get("to")) {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	out := []rowRef{}
	more := false
	size := 0
	for _, k := range keys {
		row := s.rows[q.Get("table")][k]
		if len(out) == limit || size+len(row.Value) > maxTxBytes {
			more = true
			break
		}
		size += len(row.Value)
		out = append(out, row)
	}
	version := s.version
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"rows": out, "has_more": more, "row_version": version, "server_time_ms": s.clock()})
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	limit := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		if after < s.discarded {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		out := []rowRef{}
		from := sort.Search(len(s.history), func(i int) bool { return s.history[i].row.RowVersion > after })
		for _, c := range s.history[from:] {
			if c.row.Table == q.Get("table") {
				out = append(out, c.row)
			}
		}
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if len(out) > 0 {
			answer(w, http.StatusOK, map[string]any{"rows": out, "row_version": version, "server_time_ms": s.clock()})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-limit:
			answer(w, http.StatusOK, map[string]any{"rows": out, "row_version": version, "server_time_ms": s.clock()})
			return
		}
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = w.Write(text)
}
