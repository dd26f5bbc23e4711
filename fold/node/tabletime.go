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
	// nearMargin is the difference between the times of a read from which on one entry counts as nearer to the table than
	// another. Each job waits for at least three commits of the owner; within a region the times differ by less.
	nearMargin = 5 * time.Millisecond
)

// reachesTableLater reports whether the entry takes longer than the other one to reach the table, by more than nearMargin. An
// entry whose time is not known counts as neither.
func (r registration) reachesTableLater(other registration) bool {
	return other.TableTime > 0 && r.TableTime > other.TableTime+nearMargin
}

// measureTableTime records how long a read of the table takes for this entry. It must be called before register.
func (p *peers) measureTableTime(ctx context.Context) {
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
