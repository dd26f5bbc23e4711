package store_test

import (
	"bytes"
	"reflect"
	"testing"

	"plantainfold.example/fold"
	"plantainfold.example/fold/codec"
	"plantainfold.example/fold/quota"
	"plantainfold.example/fold/sched"
	"plantainfold.example/fold/store"
)

var part = store.JobPart{
	Job: fold.Job{
		ID: "j", Team: "crews", Queue: "nightly", Kind: fold.Gang, Count: 3,
		Resources: fold.Resources{CPU: 1000, Memory: 64, Accel: 1}, Duration: 1000, Idempotent: true, FirstTask: 5,
	},
	Progress: sched.Progress{Done: []byte{1}, Unknown: []byte{2}, Cancelled: true},
}

// Guards against a roll-out in which an entry of this release cannot read the jobs that one of the next release wrote.
func TestReadsNextVersionOfJobs(t *testing.T) {
	next := struct {
		Job      fold.Job       `json:"job"`
		Progress sched.Progress `json:"progress"`
		Added    []string       `json:"added"`
	}{part.Job, part.Progress, []string{"a field of the next release"}}
	record, err := codec.Encode(next)
	if err != nil {
		t.Fatal(err)
	}
	record[0] = codec.NewestReadable
	got, err := codec.Decode[store.JobPart](record)
	if err != nil || !reflect.DeepEqual(got, part) {
		t.Errorf("got %+v: %v", got, err)
	}
	record[0] = codec.NewestReadable + 1
	if _, err := codec.Decode[store.JobPart](record); err == nil {
		t.Error("a record of an unknown version was read")
	}
}

// Guards against a row with damaged contents that stops the entry that reads it, or that changes when it is written again.
func FuzzRecords(f *testing.F) {
	for _, seed := range []any{part, store.JobIndex{Job: part.Job, Parts: []fold.Part{{Pool: "a-0", Count: 1}}}, quota.Split{Held: map[string]fold.Resources{"a-0": {CPU: 1}}}} {
		b, err := codec.Encode(seed)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
		f.Add(b[:len(b)/2])
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		again[store.JobPart](t, b)
		again[store.JobIndex](t, b)
		again[quota.Split](t, b)
	})
}

// again checks that what is read from b is the same after it was written and read again.
func again[T any](t *testing.T, b []byte) {
	t.Helper()
	v, err := codec.Decode[T](b)
	if err != nil {
		return
	}
	first, err := codec.Encode(v)
	if err != nil {
		t.Fatalf("cannot write %+v: %v", v, err)
	}
	w, err := codec.Decode[T](first)
	if err != nil {
		t.Fatalf("cannot read %x: %v", first, err)
	}
	second, err := codec.Encode(w)
	if err != nil || !bytes.Equal(first, second) {
		t.Errorf("%x became %x: %v", first, second, err)
	}
}
