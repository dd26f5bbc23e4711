package drive

import (
	"fmt"
	"hash/fnv"

	"plantainfold.example/fold"
	"plantainfold.example/fold/codec"
	"plantainfold.example/fold/core"
)

// UsedTable holds the hosts that the owner uses, several hundred per row.
const UsedTable = "used/"

// bytesPerHost is the space in a row for each host, in bytes. A host takes about 70; the hash distributes them unevenly.
const bytesPerHost = 256

// usedRow is a row of UsedTable.
type usedRow struct {
	// Epoch is the epoch of the owner that wrote the row.
	Epoch int64      `json:"epoch"`
	Hosts []usedHost `json:"hosts"`
}

// usedHost is a host in a row. Awaited is true if an earlier owner used the host and it has not answered this one.
type usedHost struct {
	_           struct{} `cbor:",toarray"`
	ID          string
	Address     string
	Incarnation int64
	Awaited     bool
}

// usedRows holds the rows of UsedTable as they are stored, by key.
type usedRows struct {
	rows map[string]string
	// rowCount is the number of rows; it doubles when the hosts need more rows.
	rowCount int
	// perRow is the average number of hosts in a row.
	perRow int
}

// changes returns the rows to write and the keys of rows to delete so that the table holds the given hosts.
func (u *usedRows) changes(epoch int64, hosts []core.RecordedHost) (puts []fold.Put, stale []string, err error) {
	u.rowCount = max(u.rowCount, 1)
	for u.rowCount*u.perRow < len(hosts) {
		u.rowCount *= 2
	}
	rows := make([]usedRow, u.rowCount)
	for _, h := range hosts {
		hash := fnv.New32a()
		// Write of a hash never returns an error.
		_, _ = hash.Write([]byte(h.ID))
		row := &rows[int(hash.Sum32()%uint32(u.rowCount))]
		row.Hosts = append(row.Hosts, usedHost{ID: h.ID, Address: h.Address, Incarnation: h.Incarnation, Awaited: h.Awaited})
	}
	needed := make(map[string]bool, len(rows))
	for i, row := range rows {
		row.Epoch = epoch
		key := fmt.Sprintf("%s%04d", UsedTable, i)
		needed[key] = true
		value, err := codec.Encode(row)
		if err != nil {
			return nil, nil, err
		}
		if u.rows[key] != string(value) {
			puts = append(puts, fold.Put{Key: key, Value: value})
		}
	}
	for key := range u.rows {
		if !needed[key] {
			stale = append(stale, key)
		}
	}
	return puts, stale, nil
}

// recordCommit updates the rows after a commit.
func (u *usedRows) recordCommit(puts []fold.Put, stale []string) {
	for _, p := range puts {
		u.rows[p.Key] = string(p.Value)
	}
	for _, key := range stale {
		delete(u.rows, key)
	}
}

// restoreUsedHosts returns the hosts on which earlier owners may have started runs without records. If the last owner is known
// not to have done so, these are only the hosts that it still awaited itself; otherwise they are all recorded hosts.
func (d *Driver) restoreUsedHosts(rows []fold.Row) []fold.Host {
	var hosts []fold.Host
	for _, row := range rows {
		d.usedRows.rows[row.Key] = string(row.Value)
		recorded, err := codec.Decode[usedRow](row.Value)
		if err != nil {
			d.log.Error("Ignored a row of used hosts that cannot be decoded.", "key", row.Key, "error", err)
			continue
		}
		// If the last owner did not write this row, it may not have got answers of all hosts in it.
		all := d.parts.AwaitUnrecorded || recorded.Epoch != d.term.Epoch()-1
		for _, u := range recorded.Hosts {
			if all || u.Awaited {
				hosts = append(hosts, fold.Host{ID: u.ID, Address: u.Address, Incarnation: u.Incarnation})
			}
		}
	}
	return hosts
}
