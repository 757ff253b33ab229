package soak

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"gypsumdock/testbench/hosted"
)

// write is an attempt to write the next value of an item. Each item has one
// writer, which goes on to a new item once the outcome of a write is unknown.
type write struct {
	item   string
	number int
	// promised is set if the caller was told that nothing is kept.
	promised bool
	// acknowledged is when the caller had the acknowledgement; zero for none.
	acknowledged time.Time
}

// data is the value that the attempt writes.
func (w *write) data() string { return w.item + "~" + strconv.Itoa(w.number) }

// read is what a caller has read.
type read struct {
	item string
	// sent is when the read was sent, and age how old its data may be.
	sent time.Time
	age  time.Duration
	// own is the number of the newest write of the same session to the item
	// that was acknowledged before.
	own int
	row string
	by  string
}

// ledger keeps what callers did and saw. It is safe for concurrent use.
type ledger struct {
	mu         sync.Mutex
	writes     map[string][]*write
	reads      []read
	violations []string
	answers    map[string]int
}

func newLedger() *ledger { return &ledger{writes: map[string][]*write{}, answers: map[string]int{}} }

// violate records a broken promise.
func (l *ledger) violate(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, fmt.Sprintf(format, args...))
}

// count counts an answer by its code; an empty one is a success.
func (l *ledger) count(code string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if code == "" {
		code = "ok"
	}
	l.answers[code]++
}

// attempt adds an attempt to write the next value of the item.
func (l *ledger) attempt(item string) *write {
	l.mu.Lock()
	defer l.mu.Unlock()
	made := &write{item: item, number: len(l.writes[item]) + 1}
	l.writes[item] = append(l.writes[item], made)
	return made
}

// settle records what the caller was told of a write.
func (l *ledger) settle(w *write, reply hosted.Reply, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err != nil:
	case reply.Code == "":
		w.acknowledged = time.Now()
	case reply.IsNotRun():
		w.promised = true
	}
}

// saw adds a read.
func (l *ledger) saw(r read) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads = append(l.reads, r)
}

// items returns the items that have been written.
func (l *ledger) items() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []string
	for item := range l.writes {
		all = append(all, item)
	}
	return all
}

// check compares all that callers saw with what became of the writes.
func (l *ledger) check(outcome hosted.Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, attempts := range l.writes {
		for _, w := range attempts {
			l.checkWrite(w, outcome)
		}
	}
	for _, r := range l.reads {
		l.checkRead(r, outcome)
	}
}

// note records a broken promise. l.mu is held.
func (l *ledger) note(format string, args ...any) {
	l.violations = append(l.violations, fmt.Sprintf(format, args...))
}

func (l *ledger) checkWrite(w *write, outcome hosted.Outcome) {
	kept := outcome.Kept[w.data()]
	acknowledged := !w.acknowledged.IsZero()
	if kept > 1 {
		l.note("write %s took effect %d times", w.data(), kept)
	}
	if w.promised && (kept > 0 || outcome.RolledBack[w.data()]) {
		l.note("write %s was committed, though its caller was told that it was not run", w.data())
	}
	if acknowledged && kept == 0 && !outcome.RolledBack[w.data()] {
		l.note("write %s was acknowledged, and is in no log", w.data())
	}
	if acknowledged && outcome.Deposed[w.data()] {
		l.note("write %s was committed at a replaced primary and acknowledged", w.data())
	}
}

// noRow is what a database answers for an item that was never written.
const noRow = "none"

func (l *ledger) checkRead(r read, outcome hosted.Outcome) {
	number := 0
	if r.row != noRow {
		item, digits, found := strings.Cut(r.row, "~")
		parsed, err := strconv.Atoi(digits)
		if !found || err != nil || item != r.item {
			l.note("a read of %s at %s was answered with %q", r.item, r.by, r.row)
			return
		}
		number = parsed
	}
	attempts := l.writes[r.item]
	if number > len(attempts) {
		l.note("a read of %s at %s shows write %d, which nobody sent", r.item, r.by, number)
		return
	}
	if needed := neededBy(r, attempts, outcome); number < needed {
		l.note("a read of %s at %s shows write %d, write %d was to be seen", r.item, r.by, number, needed)
	}
}

// neededBy returns the newest write that the read had to show.
func neededBy(r read, attempts []*write, outcome hosted.Outcome) int {
	needed := 0
	for _, w := range attempts {
		old := !w.acknowledged.IsZero() && w.acknowledged.Before(r.sent.Add(-r.age))
		if (old || w.number <= r.own && !w.acknowledged.IsZero()) && !outcome.RolledBack[w.data()] {
			needed = w.number
		}
	}
	return needed
}
