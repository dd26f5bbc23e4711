package drive

import (
	"context"
	"encoding/binary"
	"fmt"
	"strings"

	"plantainfold.example/fold"
	"plantainfold.example/fold/codec"
	"plantainfold.example/fold/flow"
)

// DefaultMaxRow is the longest value of a row, in bytes, if the settings do not contain it.
const DefaultMaxRow = 64 << 10

const (
	// chunkMark is the first byte of each row of a record that takes several rows. It is no version of the codec, so a build
	// that cannot join such rows rejects the record instead of using its beginning.
	chunkMark = 0xff
	// chunkHeader is the length of the mark and of the number of rows that follow it, in bytes.
	chunkHeader = 3
	// chunkSeparator separates the key of a record from the number of a further row.
	chunkSeparator = "~"
)

// chunkKey returns the key of a row of a record; the first one has the record's own key.
func chunkKey(key string, index int) string {
	if index == 0 {
		return key
	}
	return fmt.Sprintf("%s%s%04d", key, chunkSeparator, index)
}

// chunkRows returns the rows that store a value of any length under a key. Each holds at most maxRow bytes.
func chunkRows(key string, value []byte, maxRow int) []fold.Put {
	if len(value) <= maxRow {
		return []fold.Put{{Key: key, Value: value}}
	}
	payload := maxRow - chunkHeader
	count := (len(value) + payload - 1) / payload
	rows := make([]fold.Put, count)
	for i := range rows {
		part := value[i*payload : min(len(value), (i+1)*payload)]
		head := binary.BigEndian.AppendUint16([]byte{chunkMark}, uint16(count))
		rows[i] = fold.Put{Key: chunkKey(key, i), Value: append(head, part...)}
	}
	return rows
}

// chunkCount returns the number of rows of the record whose first row has the value.
func chunkCount(value []byte) int {
	if len(value) < chunkHeader || value[0] != chunkMark {
		return 1
	}
	return int(binary.BigEndian.Uint16(value[1:chunkHeader]))
}

// joinChunks returns the value of the record under key. The function find returns the value of a row.
func joinChunks(key string, find func(key string) ([]byte, bool)) ([]byte, error) {
	first, ok := find(key)
	if !ok {
		return nil, fold.Refuse(fold.NotFound, "check the key", "no row %q", key)
	}
	count := chunkCount(first)
	if count == 1 {
		return first, nil
	}
	var value []byte
	for i := range count {
		row, ok := find(chunkKey(key, i))
		if !ok || chunkCount(row) != count {
			return nil, fold.Refuse(fold.Unavailable, "read the rows again", "row %d of the %d rows of %q is missing", i, count, key)
		}
		value = append(value, row[chunkHeader:]...)
	}
	return value, nil
}

// EncodeJob returns the value of the row of a job. It returns a TooLarge error if the value has more than maxRow bytes.
func EncodeJob(job flow.Job, maxRow int) ([]byte, error) {
	value, err := codec.Encode(job)
	if err == nil && len(value) > maxRow {
		return nil, fold.Refuse(fold.TooLarge, "shorten the texts of the job or split it", "the encoded job has %d bytes, more than the %d of a row", len(value), maxRow)
	}
	return value, err
}

// ReadRecord reads the record of a job from its own rows. It returns a NotFound error if there are none.
func ReadRecord(ctx context.Context, table fold.Table, id string) (flow.Record, error) {
	key := StatePrefix + id
	row, err := table.Get(ctx, key)
	if err != nil {
		return flow.Record{}, err
	}
	if chunkCount(row.Value) == 1 {
		return codec.Decode[flow.Record](row.Value)
	}
	// A single scan returns all rows as of one moment.
	rows, err := table.Scan(ctx, key, "", chunkCount(row.Value))
	if err != nil {
		return flow.Record{}, err
	}
	values := make(map[string][]byte, len(rows))
	for _, r := range rows {
		values[r.Key] = r.Value
	}
	return decodeRecord(key, values)
}

// decodeRecord decodes the record under key from the values of rows, by key.
func decodeRecord(key string, values map[string][]byte) (flow.Record, error) {
	value, err := joinChunks(key, func(key string) ([]byte, bool) {
		v, ok := values[key]
		return v, ok
	})
	if err != nil {
		return flow.Record{}, err
	}
	return codec.Decode[flow.Record](value)
}

// decodeRecords decodes the records in the rows of StatePrefix. It also sets the number of further rows of each record and
// lists rows that belong to no record for deletion.
func (d *Driver) decodeRecords(rows []fold.Row) map[string]flow.Record {
	values := make(map[string][]byte, len(rows))
	for _, row := range rows {
		values[row.Key] = row.Value
	}
	records := make(map[string]flow.Record, len(rows))
	for _, row := range rows {
		id, _, isFurther := strings.Cut(strings.TrimPrefix(row.Key, StatePrefix), chunkSeparator)
		if isFurther {
			d.backlog.further[id]++
			if _, ok := values[StatePrefix+id]; !ok {
				d.staleRows = append(d.staleRows, row.Key)
			}
			continue
		}
		rec, err := decodeRecord(row.Key, values)
		if err != nil {
			// Without its record the job would start from the beginning and repeat tasks that are done.
			d.log.Error("Skipped a job because its record cannot be decoded.", "job", id, "error", err)
			d.unreadable[id] = true
			continue
		}
		records[id] = rec
	}
	return records
}
