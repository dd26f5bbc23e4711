package drive

import (
	"context"
	"fmt"
	"hash/fnv"

	"plantainfold.example/fold"
	"plantainfold.example/fold/codec"
	"plantainfold.example/fold/core"
)

// UsedTable holds the hosts that the owner uses, as rows of some hundred hosts each.
const UsedTable = "used/"

// usedPer is how many hosts a row holds on the mean; a host takes about 70 bytes of the 64 KiB that the platform takes.
const usedPer = 256

// usedHosts is a row of the hosts that an owner uses.
type usedHosts struct {
	// Epoch is that of the owner.
	Epoch int64      `json:"epoch"`
	Hosts []usedHost `json:"hosts"`
}

// usedHost is a host in a row. Awaited says that an earlier owner used it and that it has not answered this one.
type usedHost struct {
	_           struct{} `cbor:",toarray"`
	ID          string
	Address     string
	Incarnation int64
	Awaited     bool
}

// used knows the rows of hosts as they stand in the table.
type used struct {
	rows map[string]string
	// count is the number of rows, which grows with the hosts.
	count int
}

// changes returns the rows that must be written so that the table names the hosts, and those to remove.
func (u *used) changes(epoch int64, hosts []core.UsedHost) (puts []fold.Put, stale []string, err error) {
	u.count = max(u.count, 1)
	for u.count*usedPer < len(hosts) {
		u.count *= 2
	}
	rows := make([]usedHosts, u.count)
	for _, h := range hosts {
		hash := fnv.New32a()
		// A hash never fails to take bytes.
		_, _ = hash.Write([]byte(h.ID))
		row := &rows[int(hash.Sum32()%uint32(u.count))]
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

// note takes what a commit has written.
func (u *used) note(puts []fold.Put, stale []string) {
	for _, p := range puts {
		u.rows[p.Key] = string(p.Value)
	}
	for _, key := range stale {
		delete(u.rows, key)
	}
}

// usedBefore reads the hosts on which earlier owners may have started runs without records: all of the recorded ones
// unless the last owner is known not to have done so, else those for which it still waited itself.
func (d *Driver) usedBefore(ctx context.Context) ([]fold.Host, error) {
	rows, _, err := d.snapshot(ctx, UsedTable)
	if err != nil {
		return nil, err
	}
	var hosts []fold.Host
	for _, row := range rows {
		d.used.rows[row.Key] = string(row.Value)
		found, err := codec.Decode[usedHosts](row.Value)
		if err != nil {
			d.log.Error("Ignored a row of used hosts that cannot be read.", "key", row.Key, "error", err)
			continue
		}
		// An owner that did not record its hosts may not have heard from all of those before.
		all := d.parts.AwaitUnrecorded || found.Epoch != d.term.Epoch()-1
		for _, u := range found.Hosts {
			if all || u.Awaited {
				hosts = append(hosts, fold.Host{ID: u.ID, Address: u.Address, Incarnation: u.Incarnation})
			}
		}
	}
	return hosts, nil
}
