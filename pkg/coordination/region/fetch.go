package region

import (
	"context"
	"log/slog"
	"time"

	"github.com/go-faster/errors"

	"gypsumdock/pkg/events"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/state/transfer"
)

// partTimeout bounds a call for one part of a table.
const partTimeout = time.Second

// tableFetch fetches the versions of a table that peers offer, one at a time. A
// transfer that fails goes on with the next peer that offers the same data. It is
// used by the control goroutine, except that run has a goroutine of its own.
type tableFetch struct {
	loop *Loop
	// table is the name in the log.
	table string
	// assembly is nil before the first offer.
	assembly *transfer.Assembly
	version  int64
	running  bool
	// startedAt is when the first part was asked for.
	startedAt time.Duration
}

// start fetches an offered table from a peer, and passes it to deliver on the
// control goroutine. It does nothing while a transfer is running: a version that is
// superseded meanwhile is still an advance, and waiting for the newest one could take
// for ever.
func (f *tableFetch) start(from model.InstanceID, offer *TableOffer, deliver func(data []byte, version int64)) {
	if f.running {
		return
	}
	if f.assembly == nil || f.assembly.Offer() != offer.Offer {
		assembly, err := transfer.NewAssembly(offer.Offer)
		if err != nil {
			f.logFailure(from, err)
			return
		}
		f.assembly = assembly
		f.startedAt = f.loop.now()
	}
	f.version = offer.Version
	f.running = true
	f.loop.tasks.Go(func() {
		data, err := f.run(from)
		f.loop.post(func() { f.ended(from, data, err, deliver) })
	})
}

// run fetches the missing parts, and returns the data.
func (f *tableFetch) run(from model.InstanceID) ([]byte, error) {
	for !f.assembly.IsComplete() {
		part, err := f.loop.fetchPart(from, f.assembly.Offer().Digest, f.assembly.Offset())
		if err != nil {
			return nil, err
		}
		if err := f.assembly.Add(part); err != nil {
			return nil, err
		}
	}
	return f.assembly.Decode()
}

func (l *Loop) fetchPart(from model.InstanceID, digest transfer.Digest, offset int) ([]byte, error) {
	ctx, cancel := context.WithTimeout(l.ctx, partTimeout)
	defer cancel()
	return l.config.Peers.FetchPart(ctx, from, digest, offset)
}

// ended processes the end of a transfer.
func (f *tableFetch) ended(from model.InstanceID, data []byte, err error, deliver func([]byte, int64)) {
	f.running = false
	if err != nil {
		f.failed(from, err)
		return
	}
	l := f.loop
	events.Log(l.ctx, l.config.Logger, events.TableFetched, slog.String("table", f.table),
		slog.Int64("version", f.version), slog.String("peer", string(from)),
		slog.Int("bytes", f.assembly.Offer().Size), slog.Duration("elapsed", l.now()-f.startedAt))
	f.assembly = nil
	deliver(data, f.version)
}

// failed processes the failure of a transfer, and has an observer query the next
// member at once.
func (f *tableFetch) failed(from model.InstanceID, err error) {
	f.logFailure(from, err)
	if errors.Is(err, transfer.ErrCorrupt) || errors.Is(err, transfer.ErrTooLarge) {
		f.assembly = nil
	}
	l := f.loop
	if !errors.Is(err, ErrPartGone) {
		l.readerFailedAt[from] = l.now()
	}
	l.observedAt = l.now() - observeInterval
}

func (f *tableFetch) logFailure(from model.InstanceID, err error) {
	received := 0
	if f.assembly != nil {
		received = f.assembly.Offset()
	}
	events.Log(f.loop.ctx, f.loop.config.Logger, events.TableFetchInterrupted, slog.String("table", f.table),
		slog.Int64("version", f.version), slog.String("peer", string(from)),
		slog.Int("received", received), slog.Any("error", err))
}
