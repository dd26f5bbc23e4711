package main

import (
	"bytes"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"
)

// queueInfo is a queue of the configuration.
type queueInfo struct {
	Name, Host, Prefix, service string
	attempts, priority, target  int
	slack                       float64
}

var (
	transport = &http.Transport{MaxIdleConnsPerHost: 20, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	prober    = &http.Client{Timeout: 500 * time.Millisecond}
)

func (e *entry) isReady() bool {
	resp, err := prober.Get("http://" + e.ready + "/-/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// call sends a call of a client to an entry. The status is 0 if there is no whole answer.
func call(method string, e *entry, q *queueInfo, path, key string, body any, wait time.Duration) (status int, out map[string]any, retryAfter time.Duration) {
	var rd io.Reader
	if body != nil {
		text, _ := json.Marshal(body)
		rd = bytes.NewReader(text)
	}
	req, _ := http.NewRequest(method, "http://"+e.front+q.Prefix+path, rd)
	req.Host = q.Host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Api-Key", key)
	req.Header.Set("X-Timeout-Ms", strconv.FormatInt(wait.Milliseconds(), 10))
	resp, err := (&http.Client{Transport: transport, Timeout: wait}).Do(req)
	if err != nil {
		return 0, nil, 0
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil, 0
	}
	_ = json.Unmarshal(text, &out)
	after, _ := strconv.Atoi(resp.Header.Get("Retry-After"))
	return resp.StatusCode, out, time.Duration(after) * time.Second
}

// submit hands a job in, as often as a client does, and reports whether it was accepted.
func (w *world) submit(j *jobSpec) bool {
	w.mu.Lock()
	w.jobs[j.id] = j
	w.mu.Unlock()
	for range 5 {
		e := entries[rand.IntN(len(entries))]
		status, _, after := call(http.MethodPost, e, j.queue, j.id, j.key, j, 3*time.Second)
		w.rec.add("POST %s at %s: %d", j.id, e.name, status)
		switch {
		case status/100 == 2:
			return true
		case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
			time.Sleep(max(after, 300*time.Millisecond))
		default:
			time.Sleep(200 * time.Millisecond)
		}
	}
	return false
}
