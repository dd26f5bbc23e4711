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

// maxSharedPart is the largest part of a row's limit that the records in a shared row take. The rest is for their keys.
const maxSharedPart = 0.75

// backlog describes the shared rows.
type backlog struct {
	// records are the newest records that have no row of their own, by job id.
	records map[string]flow.Record
	// keys are the keys of the shared rows, which are deleted once records is empty.
	keys []string
	// number counts the shared rows of this owner.
	number int
	// maxRow is the longest value of a row in bytes.
	maxRow int
	// further holds the number of rows after the first one, as stored, for the records that have any, by job id.
	further map[string]int
	// shortened holds the ids of the jobs whose last record was written without checkpoints.
	shortened map[string]bool
}

// maxShared limits the records in a shared row, in bytes.
func (b *backlog) maxShared() int {
	return int(maxSharedPart * float64(b.maxRow))
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
	// stale are the keys of rows that a shorter record no longer needs.
	stale []string
	// rowCounts holds the number of rows of each record with rows of its own, by job id.
	rowCounts map[string]int
	size      int
}

// entries returns the number of entries that the rows take in a commit.
func (p *recordRows) entries() int {
	return len(p.rows) + len(p.stale)
}

// addOwn adds a record with rows of its own.
func (p *recordRows) addOwn(w core.Write, rows []fold.Put, stale []string, size int) {
	p.size += size
	p.rows = append(p.rows, rows...)
	p.stale = append(p.stale, stale...)
	p.ownRow = append(p.ownRow, w)
	p.rowCounts[w.Job] = len(rows)
}

// pack selects writes for a commit of at most limit entries and space bytes, and returns the rest. Final states come first,
// because every entry can read them once they have rows of their own. A record that takes several rows waits for a commit in
// which all of them fit, unless this commit has the whole space and nothing else.
func (d *Driver) pack(writes []core.Write, limit, space int) (recordRows, []core.Write, error) {
	p := recordRows{rowCounts: make(map[string]int)}
	var later []core.Write
	if len(writes) > limit {
		slices.SortStableFunc(writes, func(a, b core.Write) int {
			return cmp.Compare(rankOfState(a.Record.State), rankOfState(b.Record.State))
		})
		limit--
	}
	for len(writes) > 0 && p.entries() < limit && p.size < space {
		w := writes[0]
		writes = writes[1:]
		value, err := d.encodeRecord(w)
		if err != nil {
			return p, nil, err
		}
		rows, stale := d.backlog.rowsOf(w.Job, value)
		entries := len(rows) + len(stale)
		fits := p.entries()+entries <= limit && p.size+len(value) <= space
		if entries > 1 && !fits && (p.entries() > 0 || space < maxBytes) {
			later = append(later, w)
			continue
		}
		p.addOwn(w, rows, stale, len(value))
	}
	if len(writes) == 0 {
		return p, later, nil
	}
	return d.packShared(p, writes, later)
}

// rowsOf returns the rows that store the encoded record of a job, and the keys of rows that it no longer needs.
func (b *backlog) rowsOf(job string, value []byte) (rows []fold.Put, stale []string) {
	key := StatePrefix + job
	rows = chunkRows(key, value, b.maxRow)
	for i := len(rows); i <= b.further[job]; i++ {
		stale = append(stale, chunkKey(key, i))
	}
	return rows, stale
}

// maxRecord is the size in bytes of an encoded record above which it is written without checkpoints. The other fields take
// less, because core limits the open tasks and flow the steps of a job.
const maxRecord = 384 << 10

// encodeRecord encodes the record of a job. A record that would not fit into a commit is encoded without checkpoints.
func (d *Driver) encodeRecord(w core.Write) ([]byte, error) {
	value, err := codec.Encode(w.Record)
	if err != nil || len(value) <= maxRecord {
		delete(d.backlog.shortened, w.Job)
		return value, err
	}
	if !d.backlog.shortened[w.Job] {
		d.backlog.shortened[w.Job] = true
		d.log.Warn("Leaving the checkpoints out of the record of a job because it is too long.", "job", w.Job, "bytes", len(value), "limit", maxRecord)
	}
	rec := w.Record
	rec.Parts = slices.Clone(rec.Parts)
	for i := range rec.Parts {
		rec.Parts[i].Saved = nil
	}
	return codec.Encode(rec)
}

func rankOfState(s flow.State) int {
	if s.Final() {
		return 0
	}
	return 1
}

// packShared puts as many of the writes as fit into a shared row, and returns the others after those in later. A record that
// takes several rows is not put into it.
func (d *Driver) packShared(p recordRows, writes, later []core.Write) (recordRows, []core.Write, error) {
	var records []BacklogRecord
	size := 0
	for len(writes) > 0 {
		w := writes[0]
		value, err := codec.Encode(w.Record)
		if err != nil {
			return p, nil, err
		}
		if len(value) > d.backlog.maxShared() {
			later, writes = append(later, w), writes[1:]
			continue
		}
		if size+len(value) > d.backlog.maxShared() {
			break
		}
		size += len(value)
		records = append(records, BacklogRecord{Job: w.Job, Record: w.Record})
		p.shared = append(p.shared, w)
		writes = writes[1:]
	}
	later = append(later, writes...)
	if len(records) == 0 {
		return p, later, nil
	}
	value, err := codec.Encode(records)
	if err != nil {
		return p, nil, err
	}
	d.backlog.number++
	p.sharedKey = fmt.Sprintf("%s%012d-%06d", BacklogTable, d.term.Epoch(), d.backlog.number)
	p.size += len(value)
	p.rows = append(p.rows, fold.Put{Key: p.sharedKey, Value: value})
	return p, later, nil
}

// recordCommit updates the backlog after a commit.
func (b *backlog) recordCommit(p recordRows) {
	for _, w := range p.ownRow {
		delete(b.records, w.Job)
		delete(b.further, w.Job)
		if count := p.rowCounts[w.Job]; count > 1 {
			b.further[w.Job] = count - 1
		}
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
