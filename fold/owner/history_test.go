package owner

import (
	"errors"
	"testing"

	"github.com/anishathalye/porcupine"

	"plantainfold.example/fold"
)

// neverReturned is the return time of an operation whose outcome is unknown.
const neverReturned = fold.Instant(1 << 62)

// recordedRows are the rows whose operations are recorded: the configuration head and the owner of one unit.
var recordedRows = map[string]bool{"config/head": true, "once/00": true}

// history records operations for the linearizability checker.
type history struct {
	rows    []porcupine.Operation
	workers []porcupine.Operation
}

// rowOp is a read of a version, or a CAS from a version to a new one.
type rowOp struct {
	key  string
	swap bool
	from int64
	// to is set when the CAS takes effect, which may be after its caller timed out.
	to *int64
	// failed is set if a checked row had another version.
	failed bool
	// multiRow is set if the CAS checked several rows, so that another row may have caused the failure.
	multiRow bool
	// unknown is set if the outcome is not known.
	unknown bool
}

// workerOp is an adoption of a worker or a start on it.
type workerOp struct {
	name    string
	kind    string
	epoch   int64
	session int64
	ok      bool
}

// operation is a row operation in progress.
type operation struct {
	history *history
	key     string
	begin   fold.Instant
}

func (h *history) begin(now fold.Instant, key string) operation {
	return operation{history: h, key: key, begin: now}
}

func (o operation) read(now fold.Instant, version int64, err error) {
	if err == nil {
		o.add(now, rowOp{to: &version})
	}
}

// swap records a CAS with an unknown outcome. The returned function records the outcome.
func (o operation) swap(from int64, to *int64, several bool) func(now fold.Instant, err error) {
	op := rowOp{key: o.key, swap: true, from: from, to: to, multiRow: several, unknown: true}
	at := len(o.history.rows)
	o.add(neverReturned, op)
	return func(now fold.Instant, err error) {
		if !errors.Is(err, errLost) && recordedRows[o.key] {
			op.unknown, op.failed = false, errors.Is(err, errConflict)
			o.history.rows[at].Input, o.history.rows[at].Return = op, int64(now)
		}
	}
}

func (o operation) add(now fold.Instant, op rowOp) {
	if !recordedRows[o.key] {
		return
	}
	op.key = o.key
	o.history.rows = append(o.history.rows, porcupine.Operation{
		ClientId: len(o.history.rows), Input: op, Call: int64(o.begin), Output: op, Return: int64(now),
	})
}

func (h *history) worker(name string, at fold.Instant, op workerOp) {
	op.name = name
	h.workers = append(h.workers, porcupine.Operation{
		ClientId: len(h.workers), Input: op, Call: int64(at), Output: op, Return: int64(at),
	})
}

// partition splits operations by row or worker.
func partition(ops []porcupine.Operation, key func(any) string) [][]porcupine.Operation {
	parts := make(map[string][]porcupine.Operation)
	for _, op := range ops {
		parts[key(op.Input)] = append(parts[key(op.Input)], op)
	}
	out := make([][]porcupine.Operation, 0, len(parts))
	for _, part := range parts {
		out = append(out, part)
	}
	return out
}

// rowModel models a row with CAS. The state is the row's version.
var rowModel = porcupine.Model{
	Partition: func(ops []porcupine.Operation) [][]porcupine.Operation {
		return partition(ops, func(in any) string { return in.(rowOp).key })
	},
	Init: func() any { return int64(0) },
	Step: func(state, input, _ any) (bool, any) {
		version, op := state.(int64), input.(rowOp)
		switch {
		case !op.swap:
			return version == *op.to, version
		case op.unknown && (version != op.from || *op.to == 0):
			return true, version
		case op.failed:
			return op.multiRow || version != op.from, version
		default:
			return version == op.from && *op.to > version, *op.to
		}
	},
}

// workerModel models a worker as a lock with fencing. The state is the newest epoch and session.
var workerModel = porcupine.Model{
	Partition: func(ops []porcupine.Operation) [][]porcupine.Operation {
		return partition(ops, func(in any) string { return in.(workerOp).name })
	},
	Init: func() any { return [2]int64{} },
	Step: func(state, input, _ any) (bool, any) {
		s, op := state.([2]int64), input.(workerOp)
		switch {
		case op.kind == "adopt" && op.ok:
			return op.epoch >= s[0] && op.session > s[1], [2]int64{op.epoch, op.session}
		case op.kind == "adopt":
			return op.epoch < s[0], s
		default:
			// A refused start is always allowed, because the session may have lapsed.
			return !op.ok || op.epoch == s[0], s
		}
	},
}

// check returns the name of the first history that is not linearizable, or "".
func (h *history) check() string {
	if !porcupine.CheckOperations(rowModel, h.rows) {
		return "register"
	}
	if !porcupine.CheckOperations(workerModel, h.workers) {
		return "worker"
	}
	return ""
}

// Guards against a checker that accepts histories which are not linearizable.
func TestHistoryCheckRefusesStaleRead(t *testing.T) {
	h := &history{}
	version := int64(5)
	h.begin(1, "config/head").swap(0, &version, false)(2, nil)
	h.begin(3, "config/head").read(4, 0, nil)
	if h.check() != "register" {
		t.Error("the checker accepted a read of version 0 after version 5 was written")
	}
	h = &history{}
	h.worker("w", 1, workerOp{kind: "adopt", epoch: 7, session: 1, ok: true})
	h.worker("w", 2, workerOp{kind: "start", epoch: 5, session: 1, ok: true})
	if h.check() != "worker" {
		t.Error("the checker accepted a start at an epoch older than the worker's")
	}
}
