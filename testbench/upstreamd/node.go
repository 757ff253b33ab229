package upstreamd

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"gypsumdock/pkg/state/model"
	"gypsumdock/testbench/upstreamd/sql"
)

const (
	// firstLSN is the position of an empty group, as after initdb.
	firstLSN model.LSN = 0x3000000
	// changeBytes is the log space of a change besides its key and value.
	changeBytes = 64
	// firstTimeline is the timeline of a new group.
	firstTimeline uint32 = 1
)

// change is a write of one record.
type change struct {
	key     string
	value   string
	deleted bool
}

// record is an entry of the write-ahead log: a commit, or the start of a
// timeline when it has no changes. It is immutable.
type record struct {
	end      model.LSN
	timeline uint32
	at       time.Time
	changes  []change
}

// node is one upstream. The fields below mu are guarded by the group's mutex.
type node struct {
	id    string
	group *group
	spec  UpstreamSpec
	log   *execLog

	slots   chan struct{}
	refused atomic.Uint64
	reads   atomic.Uint64
	writes  atomic.Uint64
	queued  atomic.Int64

	mu       *sync.Mutex
	primary  bool
	timeline uint32
	wal      []*record
	// recoveredAt is the position at which a promotion ended recovery; zero
	// for a primary that was never a replica.
	recoveredAt model.LSN
	// replayed is the number of log records that table holds.
	replayed int
	table    map[string]string
	locks    map[string]*rowLock
	lag      time.Duration
	costs    Costs
	// stuck replicas receive and replay nothing further; cut ones receive
	// nothing.
	stuck, cut bool
	down       bool
	// thawed is closed unless the node is frozen.
	thawed chan struct{}
	// alive is cancelled when the node is killed.
	alive context.Context
	kill  context.CancelFunc

	// advertised is the address that replicas name as their sender.
	advertised netip.AddrPort
	cutAnswer  *AnswerCut
	open       int
	peak       int
}

func newNode(g *group, spec UpstreamSpec, log *execLog) *node {
	n := &node{
		id:       spec.ID,
		group:    g,
		spec:     spec,
		log:      log,
		mu:       &g.mu,
		timeline: firstTimeline,
		table:    make(map[string]string),
		locks:    make(map[string]*rowLock),
		lag:      time.Duration(spec.LagMS) * time.Millisecond,
		costs:    spec.Costs,
		thawed:   make(chan struct{}),
	}
	close(n.thawed)
	if spec.Slots > 0 {
		n.slots = make(chan struct{}, spec.Slots)
	}
	n.alive, n.kill = context.WithCancel(context.Background())
	return n
}

func (n *node) frozen() bool {
	select {
	case <-n.thawed:
		return false
	default:
		return true
	}
}

// position returns the end of the log of the first count records.
func (n *node) position(count int) model.LSN {
	if count == 0 {
		return firstLSN
	}
	return n.wal[count-1].end
}

// replay applies the received records to the table.
func (n *node) replay() {
	for ; n.replayed < len(n.wal); n.replayed++ {
		next := n.wal[n.replayed]
		n.timeline = next.timeline
		for _, c := range next.changes {
			if c.deleted {
				delete(n.table, c.key)
			} else {
				n.table[c.key] = c.value
			}
		}
	}
}

// commit appends changes to the primary's log and returns its new position.
func (n *node) commit(changes []change) (model.LSN, error) {
	if n.down {
		return 0, sql.Errorf(sql.CodeNotInState, "the database system is shutting down")
	}
	if !n.primary {
		return 0, sql.Errorf(sql.CodeReadOnly, "cannot execute a write in a read-only transaction")
	}
	size := 0
	for _, c := range changes {
		size += changeBytes + len(c.key) + len(c.value)
	}
	n.appendRecord(size, changes)
	return n.position(len(n.wal)), nil
}

func (n *node) appendRecord(size int, changes []change) {
	n.wal = append(n.wal, &record{
		end:      n.position(len(n.wal)) + model.LSN(size),
		timeline: n.timeline,
		at:       time.Now(),
		changes:  changes,
	})
	n.replay()
}

// promote makes a replica the primary of a new timeline.
func (n *node) promote() error {
	if n.primary {
		return sql.Errorf(sql.CodeNotInState, "recovery is not in progress")
	}
	n.group.replicate()
	n.stuck = false
	n.replay()
	n.recoveredAt = n.position(n.replayed)
	n.primary = true
	n.timeline++
	n.appendRecord(changeBytes, nil)
	n.log.add(Entry{
		Group: n.group.id, Upstream: n.id, Kind: EntryPromote,
		Timeline: n.timeline, LSN: n.position(len(n.wal)),
	})
	return nil
}

// follow makes the node a replica of source: it drops what source does not
// have, as pg_rewind does.
func (n *node) follow(source *node) {
	common := 0
	for common < len(n.wal) && common < len(source.wal) && n.wal[common] == source.wal[common] {
		common++
	}
	n.wal = append([]*record(nil), n.wal[:common]...)
	n.primary = false
	n.recoveredAt = 0
	n.replayed = 0
	n.timeline = firstTimeline
	n.table = make(map[string]string)
	n.replay()
}
