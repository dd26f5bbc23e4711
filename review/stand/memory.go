package main

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

func init() { cases["memory"] = playMemory }

// residentMB returns the memory of a process in MB, or 0 if it does not run.
func residentMB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	at := bytes.Index(text, []byte("VmRSS:"))
	if at < 0 {
		return 0
	}
	fields := strings.Fields(string(text[at:min(len(text), at+60)]))
	kb, err := strconv.Atoi(fields[1])
	if err != nil {
		return 0
	}
	return kb / 1024
}

// limitMemory kills each process that exceeds its memory, as the platform does.
func (w *world) limitMemory(peaks map[string]int) {
	for !w.isClosing() {
		for _, e := range w.entries {
			pid := e.pid()
			if pid == 0 {
				continue
			}
			mb := residentMB(pid)
			peaks[e.name] = max(peaks[e.name], mb)
			if mb > e.memoryMB {
				w.log("platform: the process of %s has %d MB, more than memory_mb = %d; it is killed", e.name, mb, e.memoryMB)
				e.mu.Lock()
				if e.process != nil && e.process.Process.Pid == pid {
					_ = e.process.Process.Kill()
				}
				e.mu.Unlock()
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// playMemory hands in scheduled jobs that are due far in the future, beside steady traffic.
func playMemory(w *world) error {
	w.operate()
	if err := w.addWorkers(4, size{CPU: 64000, Mem: 131072}); err != nil {
		return err
	}
	w.addEntries(3)
	if err := w.startEntries(); err != nil {
		return err
	}
	peaks := make(map[string]int)
	go w.limitMemory(peaks)
	t := w.startTraffic("key-north-1", 200*time.Millisecond)
	time.Sleep(2 * time.Second)
	repeat := 1000
	if !w.trouble {
		repeat = 10
	}
	for n := range 12 {
		body := jobBody{
			Spec: "hourly rebuild", Steps: []step{{Count: 200, CPU: 500, Mem: 100, Estimate: 600}},
			Repeat: repeat, Start: time.Now().Add(time.Hour).UnixMilli(), Every: 3600_000,
		}
		_, ok := w.submit("key-south-1", "/night/", body)
		w.log("case: hourly job %d with %d occurrences of 200 tasks was accepted: %v", n+1, repeat, ok)
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(15 * time.Second)
	jobs := t.end()
	if len(jobs) == 0 {
		return errors.New("no job was accepted")
	}
	w.checkLost(jobs)
	w.checkExits()
	w.log("most memory: %v MB", peaks)
	return nil
}
