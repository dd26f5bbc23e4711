package main

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the store as it stands in messages.
type row struct {
	Table      string `json:"table"`
	Part       string `json:"part"`
	Key        string `json:"key"`
	Value      []byte `json:"value,omitempty"`
	RowVersion int64  `json:"row_version"`
	Deleted    bool   `json:"deleted,omitempty"`
}

// txn is the body of a transaction.
type txn struct {
	Expected []row `json:"expected_rev"`
	Writes   []row `json:"writes"`
	Remove   []row `json:"remove"`
}

// store is the platform's store with one partition. Its history is kept whole.
type store struct {
	mu      sync.Mutex
	began   time.Time
	version int64
	rows    map[string]row
	history []row
	changed chan struct{}
	latency time.Duration
	// lostShare is the share of the transactions that get no answer and are performed 1 to 6 s later, if their condition still
	// holds.
	lostShare float64
	random    *rand.Rand
	// lost and total count the transactions without an answer and all of them since the last call of setLost.
	lost, total int
}

func newStore(seed uint64) *store {
	return &store{began: time.Now(), rows: make(map[string]row), changed: make(chan struct{}), latency: 4 * time.Millisecond, random: rand.New(rand.NewPCG(seed, 1))}
}

func rowKey(table, key string) string { return table + "/" + key }

// apply performs a transaction and returns whether its conditions hold, and the current rows if not.
func (s *store) apply(t txn) (ok bool, version int64, current []row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range t.Expected {
		found, exists := s.rows[rowKey(e.Table, e.Key)]
		if exists {
			current = append(current, found)
		}
		if found.RowVersion != e.RowVersion {
			ok = true
		}
	}
	if ok {
		return false, s.version, current
	}
	s.version++
	for _, w := range t.Writes {
		w.RowVersion = s.version
		s.rows[rowKey(w.Table, w.Key)] = w
		s.history = append(s.history, w)
	}
	for _, d := range t.Remove {
		if _, exists := s.rows[rowKey(d.Table, d.Key)]; exists {
			delete(s.rows, rowKey(d.Table, d.Key))
			s.history = append(s.history, row{Table: d.Table, Key: d.Key, RowVersion: s.version, Deleted: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return true, s.version, nil
}

// put writes a row for the operator or a worker.
func (s *store) put(table, key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.apply(txn{Writes: []row{{Table: table, Key: key, Value: text}}})
}

func (s *store) remove(table, key string) {
	s.apply(txn{Remove: []row{{Table: table, Key: key}}})
}

// value returns the value of a row.
func (s *store) value(table, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[rowKey(table, key)].Value
}

// setLost sets the share of transactions that get no answer.
func (s *store) setLost(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lostShare, s.lost, s.total = share, 0, 0
}

// counts returns the numbers of transactions without an answer and of all.
func (s *store) counts() (lost, total int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lost, s.total
}

func (s *store) now() int64 { return time.Since(s.began).Milliseconds() }

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/rows-tx", s.serveTxn)
	mux.HandleFunc("GET /-/rows-get", s.serveGet)
	mux.HandleFunc("GET /-/rows-feed", s.serveFeed)
	return mux
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	text, _ := json.Marshal(body)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

// noAnswer keeps the channel silent until its other side closes it.
func noAnswer(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var t txn
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.total++
	// The share is never exceeded.
	lost := s.random.Float64() < 1.5*s.lostShare && float64(s.lost+1) <= s.lostShare*float64(s.total)
	delay := time.Second + time.Duration(s.random.Float64()*float64(5*time.Second))
	if lost {
		s.lost++
	}
	s.mu.Unlock()
	if lost {
		time.AfterFunc(delay, func() {
			if ok, _, _ := s.apply(t); ok {
				logf("store: a transaction without an answer is performed %s late: %s", delay.Round(time.Millisecond), keysOf(t))
			}
		})
		noAnswer(r)
	}
	time.Sleep(s.latency)
	ok, version, current := s.apply(t)
	if !ok {
		reply(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "row_version": version, "server_time_ms": s.now()})
		return
	}
	reply(w, http.StatusOK, map[string]any{"row_version": version, "server_time_ms": s.now()})
}

func keysOf(t txn) string {
	text := ""
	for _, w := range t.Writes {
		text += " " + w.Table + "/" + w.Key
	}
	return text
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > 500 {
		limit = 500
	}
	time.Sleep(s.latency)
	s.mu.Lock()
	found := []row{}
	for _, x := range s.rows {
		if x.Table == q.Get("table") && x.Key >= q.Get("range_start") && (q.Get("to") == "" || x.Key < q.Get("to")) {
			found = append(found, x)
		}
	}
	version := s.version
	s.mu.Unlock()
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	more := len(found) > limit
	if more {
		found = found[:limit]
	}
	reply(w, http.StatusOK, map[string]any{"rows": found, "has_more": more, "row_version": version, "server_time_ms": s.now()})
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		last := make(map[string]row)
		order := []string{}
		for i := len(s.history) - 1; i >= 0 && s.history[i].RowVersion > after; i-- {
			x := s.history[i]
			if _, seen := last[x.Key]; x.Table == q.Get("table") && !seen {
				last[x.Key] = x
				order = append(order, x.Key)
			}
		}
		version, changed := s.version, s.changed
		s.mu.Unlock()
		rows := []row{}
		for i := len(order) - 1; i >= 0; i-- {
			rows = append(rows, last[order[i]])
		}
		sort.SliceStable(rows, func(i, j int) bool { return rows[i].RowVersion < rows[j].RowVersion })
		done := len(rows) > 0
		select {
		case <-end:
			done = true
		default:
		}
		if done {
			time.Sleep(s.latency)
			reply(w, http.StatusOK, map[string]any{"rows": rows, "row_version": version, "server_time_ms": s.now()})
			return
		}
		select {
		case <-changed:
		case <-end:
			time.Sleep(s.latency)
			reply(w, http.StatusOK, map[string]any{"rows": rows, "row_version": version, "server_time_ms": s.now()})
			return
		case <-r.Context().Done():
			return
		}
	}
}
