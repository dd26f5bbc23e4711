package drive

import (
	"cmp"
	"fmt"
	"slices"

	"plantainfold.example/fold"
	"plantainfold.example/fold/codec"
	"plantainfold.example/fold/core"
	"plantainfold.example/fold/flow"
)

// BacklogTable holds records for which a commit had no room as rows of their own: many of them share a row, so that a slow
// table still takes all progress in one transaction. They get rows of their own later.
const BacklogTable = "backlog/"

// maxBacklogRow bounds the records in a row, in bytes; the platform takes 64 KiB.
const maxBacklogRow = 48 << 10

// backlog is what stands in such rows.
type backlog struct {
	// records are the newest records that have no row of their own, by job.
	records map[string]flow.Record
	// keys are the rows, which can be removed once records is empty; number counts the rows of this owner.
	keys   []string
	number int
}

// BacklogRecord is an element of a row of the backlog.
type BacklogRecord struct {
	Job    string      `json:"job"`
	Record flow.Record `json:"record"`
}

// puts is the part of a commit that holds records.
type puts struct {
	rows []fold.Put
	// own are the records with rows of their own, packed those in the row of the backlog with the key.
	own    []core.Write
	packed []core.Write
	key    string
	size   int
}

// pack chooses which of the writes go into a commit of at most room rows, and returns the rest. Final states come first:
// with rows of their own every entry can tell them.
func (d *Driver) pack(writes []core.Write, room int) (puts, []core.Write, error) {
	var p puts
	if len(writes) > room {
		slices.SortStableFunc(writes, func(a, b core.Write) int {
			return cmp.Compare(rankOfState(a.Record.State), rankOfState(b.Record.State))
		})
		room--
	}
	for len(writes) > 0 && len(p.rows) < room && p.size < maxBytes {
		value, err := codec.Encode(writes[0].Record)
		if err != nil {
			return p, nil, err
		}
		p.size += len(value)
		p.rows = append(p.rows, fold.Put{Key: StateTable + writes[0].Job, Value: value})
		p.own = append(p.own, writes[0])
		writes = writes[1:]
	}
	if len(writes) == 0 {
		return p, nil, nil
	}
	return d.packShared(p, writes)
}

func rankOfState(s flow.State) int {
	if s.Final() {
		return 0
	}
	return 1
}

// packShared puts as many of the writes as fit into a row of the backlog.
func (d *Driver) packShared(p puts, writes []core.Write) (puts, []core.Write, error) {
	var records []BacklogRecord
	size := 0
	for len(writes) > 0 {
		value, err := codec.Encode(writes[0].Record)
		if err != nil {
			return p, nil, err
		}
		if len(records) > 0 && size+len(value) > maxBacklogRow {
			break
		}
		size += len(value)
		records = append(records, BacklogRecord{Job: writes[0].Job, Record: writes[0].Record})
		p.packed = append(p.packed, writes[0])
		writes = writes[1:]
	}
	value, err := codec.Encode(records)
	if err != nil {
		return p, nil, err
	}
	d.backlog.number++
	p.key = fmt.Sprintf("%s%012d-%06d", BacklogTable, d.term.Epoch(), d.backlog.number)
	p.size += len(value)
	p.rows = append(p.rows, fold.Put{Key: p.key, Value: value})
	return p, writes, nil
}

// note takes what a commit has made durable.
func (b *backlog) note(p puts) {
	for _, w := range p.own {
		delete(b.records, w.Job)
	}
	if p.key == "" {
		return
	}
	b.keys = append(b.keys, p.key)
	for _, w := range p.packed {
		b.records[w.Job] = w.Record
	}
}

// take returns records that are to get rows of their own, at most room, or the rows that are needed no more. Jobs whose
// records are written anyway because they have changed are left out.
func (b *backlog) take(room int, changed []core.Write) (writes []core.Write, done []string) {
	if len(b.records) == 0 {
		return nil, b.keys
	}
	newer := make(map[string]bool, len(changed))
	for _, w := range changed {
		newer[w.Job] = true
	}
	ids := make([]string, 0, len(b.records))
	for id := range b.records {
		if !newer[id] {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids[:min(len(ids), max(0, room))] {
		writes = append(writes, core.Write{Job: id, Record: b.records[id]})
	}
	return writes, nil
}

// restoreBacklog takes the rows of earlier owners and puts records that are newer than those of the jobs' own rows into
// records. A row that cannot be read is left where it is; the jobs in it go on from their own rows.
func (d *Driver) restoreBacklog(rows []fold.Row, records map[string]flow.Record) {
	b := &d.backlog
	for _, row := range rows {
		packed, err := codec.Decode[[]BacklogRecord](row.Value)
		if err != nil {
			d.log.Error("Ignored shared records that cannot be read.", "key", row.Key, "error", err)
			continue
		}
		b.keys = append(b.keys, row.Key)
		for _, p := range packed {
			if p.Record.Seq > records[p.Job].Seq && !d.unreadable[p.Job] {
				records[p.Job], b.records[p.Job] = p.Record, p.Record
			}
		}
	}
}
