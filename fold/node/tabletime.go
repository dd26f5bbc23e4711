package node

import (
	"context"
	"time"
)

const (
	// tableTimeReads is the number of reads of which the fastest tells how far the table is.
	tableTimeReads = 5
	// tableTimeLimit bounds the time for these reads, because the entry registers after them.
	tableTimeLimit = 500 * time.Millisecond
)

// reachesTableLater reports whether an entry takes longer than another one to reach the table, by more than the setting near.
// Without the setting, or if a time is not known, neither does.
func (p *peers) reachesTableLater(entry, other registration) bool {
	return p.near > 0 && other.TableTime > 0 && entry.TableTime > other.TableTime+p.near
}

// measureTableTime records how long a read of the table takes for this entry, unless the setting near is 0. It must be called
// before register.
func (p *peers) measureTableTime(ctx context.Context) {
	if p.near <= 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, tableTimeLimit)
	defer cancel()
	fastest := time.Duration(0)
	for range tableTimeReads {
		sent := p.clock.Now()
		if _, err := p.table.Get(ctx, secretKey); err != nil {
			break
		}
		if took := p.clock.Now().Sub(sent); fastest == 0 || took < fastest {
			fastest = took
		}
	}
	p.mu.Lock()
	p.self.TableTime = fastest
	p.mu.Unlock()
	p.log.Info("Measured how long the table takes to answer.", "fastest", fastest.String())
}
