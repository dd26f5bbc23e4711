package model

import (
	"slices"
	"time"
)

// Partition is a fault of entries, of their links, or of the roster. It ends after Duration.
type Partition struct {
	Kind         PartitionKind
	At, Duration time.Duration
	Entries      EntryChoice
	Hosts        HostChoice
	Direction    Direction
	// Slowness is the mean additional time of a message to or from a slow table.
	Slowness time.Duration
}

// PartitionKind is the kind of a Partition.
type PartitionKind int

// Kinds of partitions.
const (
	// HostsCut cuts the links between the entries and the hosts.
	HostsCut PartitionKind = iota
	// EntriesCutFromTable cuts the links between the entries and the table.
	EntriesCutFromTable
	// EntriesCutFromPeers cuts the links between the entries and all others.
	EntriesCutFromPeers
	// OwnerIsolated cuts the chosen entries from the table and from the other entries, and the other entries from the hosts.
	OwnerIsolated
	// EntriesPaused stops the processes of the entries; their messages under way still arrive.
	EntriesPaused
	// EntriesCrash ends the processes of the entries, which start again after Duration.
	EntriesCrash
	// OwnerHandsOver makes the owner end its term.
	OwnerHandsOver
	// HostsUnlisted removes the hosts from the roster.
	HostsUnlisted
	// HostsRestart crashes the hosts, which start again under the same ids after Duration.
	HostsRestart
	// TableSlow delays the messages of all entries to and from the table.
	TableSlow
	// TableAway makes the table unavailable.
	TableAway
	// MessagesLate executes a share of the calls to hosts 2 to 12 s late and does not answer them.
	MessagesLate
	// TakeoverPaused stops the process of the next entry that takes over, for Duration, once it has sent its takeover.
	TakeoverPaused
	// TermCutFromTable cuts the link between the next entry that begins a term and the table once the entry has loaded the
	// jobs.
	TermCutFromTable
	// Split divides the pool into the chosen entries and hosts and the rest. No entry reaches an entry or host of the other
	// side; all entries still reach the table.
	Split
	// PartitionKinds is the number of kinds.
	PartitionKinds
)

// EntryChoice chooses the entries that a Partition affects.
type EntryChoice int

// Choices of entries.
const (
	// CurrentOwner is the entry whose term began last.
	CurrentOwner EntryChoice = iota
	// OtherEntries are all entries except the CurrentOwner.
	OtherEntries
	// RandomEntry is any entry.
	RandomEntry
	// EntryChoices is the number of choices.
	EntryChoices
)

// HostChoice chooses the hosts that a Partition affects.
type HostChoice struct {
	// Racks is the number of neighbouring racks whose hosts are all affected. If it is 0, each host is affected with the
	// probability Share.
	Racks int
	Share float64
}

// Direction tells which messages a cut link loses.
type Direction int

// Directions of a cut.
const (
	// BothDirections loses requests and answers.
	BothDirections Direction = iota
	// RequestsLost loses requests.
	RequestsLost
	// AnswersLost loses answers; the requests are executed.
	AnswersLost
	// Directions is the number of directions.
	Directions
)

// cutFor cuts a link for a while.
func (w *World) cutFor(l *link, direction Direction, d time.Duration) {
	requests, answers := 1, 1
	switch direction {
	case RequestsLost:
		answers = 0
	case AnswersLost:
		requests = 0
	case BothDirections, Directions:
	}
	l.requestsLost += requests
	l.answersLost += answers
	w.after(d, func() {
		l.requestsLost -= requests
		l.answersLost -= answers
	})
}

// chooseEntries splits the entries into the chosen ones and the others.
func (w *World) chooseEntries(choice EntryChoice) (chosen, others []*entry) {
	random := w.entries[w.faults.IntN(len(w.entries))]
	for _, e := range w.entries {
		isOwner := w.owner != nil && w.owner.entry == e
		if choice == CurrentOwner && isOwner || choice == OtherEntries && !isOwner || choice == RandomEntry && e == random {
			chosen = append(chosen, e)
		} else {
			others = append(others, e)
		}
	}
	return chosen, others
}

func (w *World) chooseHosts(choice HostChoice) []*host {
	var hosts []*host
	firstRack := w.faults.IntN(w.day.Racks)
	for i, h := range w.hosts {
		rack := i * w.day.Racks / w.day.Hosts
		beyond := (rack - firstRack + w.day.Racks) % w.day.Racks
		if choice.Racks > 0 && beyond < choice.Racks || choice.Racks == 0 && w.faults.Float64() < choice.Share {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// hostsExcept returns the hosts that are not in the list.
func (w *World) hostsExcept(hosts []*host) []*host {
	return slices.DeleteFunc(slices.Clone(w.hosts), func(h *host) bool { return slices.Contains(hosts, h) })
}

// partition injects a partition.
func (w *World) partition(p Partition) {
	entries, others := w.chooseEntries(p.Entries)
	hosts := w.chooseHosts(p.Hosts)
	w.log.Debug("Injecting a partition.", "kind", int(p.Kind), "for", p.Duration.String(), "entries", numbers(entries), "hosts", ids(hosts), "direction", int(p.Direction))
	switch p.Kind {
	case HostsCut:
		w.cutHosts(entries, hosts, p)
	case EntriesCutFromTable:
		w.cutTable(entries, p)
	case EntriesCutFromPeers:
		w.cutPeers(entries, others, p)
	case OwnerIsolated:
		w.cutTable(entries, p)
		w.cutPeers(entries, others, p)
		w.cutHosts(others, hosts, p)
	case Split:
		w.cutPeers(entries, others, p)
		w.cutHosts(others, hosts, p)
		w.cutHosts(entries, w.hostsExcept(hosts), p)
	case HostsUnlisted, HostsRestart:
		for _, h := range hosts {
			w.partitionHost(h, p)
		}
	case TableSlow:
		w.slowTable += p.Slowness
		w.after(p.Duration, func() { w.slowTable -= p.Slowness })
	case TableAway:
		w.tableUp = false
		w.after(p.Duration, func() { w.tableUp = true })
	case MessagesLate:
		w.lateShare = p.Hosts.Share / 2
		w.after(p.Duration, func() { w.lateShare = 0 })
	default:
		w.disturbEntries(entries, p)
	}
}

// partitionHost injects a partition that affects single hosts.
func (w *World) partitionHost(h *host, p Partition) {
	switch {
	case p.Kind == HostsUnlisted:
		h.unlisted++
		w.after(p.Duration, func() { h.unlisted-- })
	case h.up:
		h.crash()
		w.after(p.Duration, h.restart)
	}
}

// disturbEntries injects a partition that affects the processes of entries or their terms.
func (w *World) disturbEntries(entries []*entry, p Partition) {
	switch p.Kind {
	case EntriesPaused:
		for _, e := range entries {
			e.pausedUntil = max(e.pausedUntil, w.now.Add(p.Duration))
		}
	case EntriesCrash:
		for _, e := range entries {
			e.crash(p.Duration)
		}
	case OwnerHandsOver:
		if w.owner != nil && w.owner.entry.pausedUntil <= w.now {
			w.owner.endTerm(true)
		}
	case TakeoverPaused:
		w.pauseTakeover = p.Duration
	case TermCutFromTable:
		w.cutTerm = &p
	default:
	}
}

func (w *World) cutHosts(entries []*entry, hosts []*host, p Partition) {
	for _, e := range entries {
		for _, h := range hosts {
			w.cutFor(e.linkTo(h), p.Direction, p.Duration)
		}
	}
}

func (w *World) cutTable(entries []*entry, p Partition) {
	for _, e := range entries {
		w.cutFor(&e.table, p.Direction, p.Duration)
	}
}

func (w *World) cutPeers(entries, others []*entry, p Partition) {
	for _, e := range entries {
		for _, o := range others {
			w.cutFor(e.linkToPeer(o), BothDirections, p.Duration)
			w.cutFor(o.linkToPeer(e), BothDirections, p.Duration)
		}
	}
}

func numbers(entries []*entry) []int {
	var list []int
	for _, e := range entries {
		list = append(list, e.number)
	}
	return list
}

func ids(hosts []*host) []string {
	var list []string
	for _, h := range hosts {
		list = append(list, h.info.ID)
	}
	return list
}
