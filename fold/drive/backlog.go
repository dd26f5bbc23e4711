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

// BacklogTable holds records that did not fit into a commit as rows of their own. Many of them share a row, so that a slow
// table still accepts all progress in one transaction. Later commits write them to rows of their own.
const BacklogTable = "backlog/"

// maxBacklogRow limits the records in a shared row, in bytes; the platform accepts 64 KiB.
const maxBacklogRow = 48 << 10

// backlog describes the shared rows.
type backlog struct {
	// records are the newest records that have no row of their own, by job id.
	records map[string]flow.Record
	// keys are the keys of the shared rows, which are deleted once records is empty.
	keys []string
	// number counts the shared rows of this owner.
	number int
}

// BacklogRecord is one record in a shared row.
type BacklogRecord struct {
	Job    string      `json:"job"`
	Record flow.Record `json:"record"`
}

// recordRows is the part of a commit that holds records.
type recordRows struct {
	rows []fold.Put
	// ownRow are the records with rows of their own.
	ownRow []core.Write
	// shared are the records in the shared row.
	shared []core.Write
	// sharedKey is the key of the shared row, or empty.
	sharedKey string
	size      int
}

// pack selects writes for a commit of at most limit rows and returns the rest. Final states come first, because every entry
// can read them once they have rows of their own.
func (d *Driver) pack(writes []core.Write, limit int) (recordRows, []core.Write, error) {
	var p recordRows
	if len(writes) > limit {
		slices.SortStableFunc(writes, func(a, b core.Write) int {
			return cmp.Compare(rankOfState(a.Record.State), rankOfState(b.Record.State))
		})
		limit--
	}
	for len(writes) > 0 && len(p.rows) < limit && p.size < maxBytes {
		value, err := codec.Encode(writes[0].Record)
		if err != nil {
			return p, nil, err
		}
		p.size += len(value)
		p.rows = append(p.rows, fold.Put{Key: StatePrefix + writes[0].Job, Value: value})
		p.ownRow = append(p.ownRow, writes[0])
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

// packShared puts as many of the writes as fit into a shared row.
func (d *Driver) packShared(p recordRows, writes []core.Write) (recordRows, []core.Write, error) {
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
		p.shared = append(p.shared, writes[0])
		writes = writes[1:]
	}
	value, err := codec.Encode(records)
	if err != nil {
		return p, nil, err
	}
	d.backlog.number++
	p.sharedKey = fmt.Sprintf("%s%012d-%06d", BacklogTable, d.term.Epoch(), d.backlog.number)
	p.size += len(value)
	p.rows = append(p.rows, fold.Put{Key: p.sharedKey, Value: value})
	return p, writes, nil
}

// recordCommit updates the backlog after a commit.
func (b *backlog) recordCommit(p recordRows) {
	for _, w := range p.ownRow {
		delete(b.records, w.Job)
	}
	if p.sharedKey == "" {
		return
	}
	b.keys = append(b.keys, p.sharedKey)
	for _, w := range p.shared {
		b.records[w.Job] = w.Record
	}
}

// nextOwnRows returns at most limit records that should get rows of their own, except those of changed jobs, whose records
// are written anyway. If no records are left, it returns the keys of shared rows to delete instead.
func (b *backlog) nextOwnRows(limit int, changed []core.Write) (writes []core.Write, emptiedRows []string) {
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
	for _, id := range ids[:min(len(ids), max(0, limit))] {
		writes = append(writes, core.Write{Job: id, Record: b.records[id]})
	}
	return writes, nil
}

// restoreBacklog reads the shared rows of earlier owners and merges records that are newer than the jobs' own rows into
// records. A row that cannot be read is kept, and the jobs in it continue from their own rows.
func (d *Driver) restoreBacklog(rows []fold.Row, records map[string]flow.Record) {
	b := &d.backlog
	for _, row := range rows {
		packed, err := codec.Decode[[]BacklogRecord](row.Value)
		if err != nil {
			d.log.Error("Ignored a row of shared records that cannot be decoded.", "key", row.Key, "error", err)
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
