package region

import (
	"encoding/json"
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"

	"gypsumdock/pkg/state/transfer"
)

// maxInlineBytes is the size up to which a table is sent whole within a reply.
// Larger ones are offered, and fetched in parts by calls of their own, so that a
// reply arrives in time over any link and delays nothing behind it.
const maxInlineBytes = transfer.PartBytes

// maxRecentTables is the number of superseded versions of a table that peers may
// still be fetching.
const maxRecentTables = 4

// ErrPartGone means that an instance does not have the table of which a part was
// asked for, or no longer has it.
var ErrPartGone = errors.New("no such part")

// TableOffer describes a table that a peer can fetch in parts. In mesh.proto it has
// the same name.
type TableOffer struct {
	Version int64
	transfer.Offer
}

// servedTable is one version of a table as this instance sends it to peers. It is
// immutable, except that encodeOnce fills in the encoded forms.
type servedTable struct {
	version int64
	content any

	encode sync.Once
	json   []byte
	err    error
	// offered is nil before the table is encoded, and for a table that is small
	// enough to be sent whole.
	offered atomic.Pointer[transfer.Blob]
}

// encodeOnce encodes the table on the first call.
func (t *servedTable) encodeOnce() error {
	t.encode.Do(func() { t.err = t.encodeTable() })
	return t.err
}

func (t *servedTable) encodeTable() error {
	encoded, err := json.Marshal(t.content)
	if err != nil {
		return errors.Wrap(err, "encode table")
	}
	t.json = encoded
	if len(encoded) <= maxInlineBytes {
		return nil
	}
	blob, err := transfer.Encode(encoded)
	t.offered.Store(blob)
	return err
}

// servedVersions holds the versions of one table. It is immutable.
type servedVersions struct {
	// newest is nil before the table was read.
	newest *servedTable
	// recent holds the versions that were superseded, the newest first.
	recent []*servedTable
}

// with returns the versions with a further one.
func (v servedVersions) with(version int64, content any) servedVersions {
	next := servedVersions{newest: &servedTable{version: version, content: content}}
	if v.newest != nil {
		recent := append([]*servedTable{v.newest}, v.recent...)
		next.recent = recent[:min(len(recent), maxRecentTables)]
	}
	return next
}

// forPeer returns the newest version as JSON or, if it is large and the peer takes
// offers, its offer. It returns neither if the peer knows the version.
func (v servedVersions) forPeer(known int64, takesOffers bool) ([]byte, *TableOffer, error) {
	if v.newest == nil || v.newest.version <= known {
		return nil, nil, nil
	}
	if err := v.newest.encodeOnce(); err != nil {
		return nil, nil, err
	}
	if blob := v.newest.offered.Load(); blob != nil && takesOffers {
		return nil, &TableOffer{Version: v.newest.version, Offer: blob.Offer()}, nil
	}
	return v.newest.json, nil, nil
}

// part returns the part of an offered version that begins at the offset, or nil.
func (v servedVersions) part(digest transfer.Digest, offset int) []byte {
	for _, table := range append([]*servedTable{v.newest}, v.recent...) {
		if table == nil {
			continue
		}
		if blob := table.offered.Load(); blob != nil && blob.Offer().Digest == digest {
			return blob.Part(offset)
		}
	}
	return nil
}

// servedTables holds the tables as this instance sends them to peers. It is
// immutable.
type servedTables struct {
	catalog   servedVersions
	upstreams servedVersions
}

// AnswerPart returns the part of a table that this instance has offered, or
// ErrPartGone.
func (l *Loop) AnswerPart(digest transfer.Digest, offset int) ([]byte, error) {
	held := l.served.Load()
	for _, versions := range []servedVersions{held.catalog, held.upstreams} {
		if part := versions.part(digest, offset); len(part) > 0 {
			return part, nil
		}
	}
	return nil, ErrPartGone
}

// serveCatalog makes the active configuration available to peers.
func (l *Loop) serveCatalog() {
	held := *l.served.Load()
	held.catalog = held.catalog.with(int64(l.catalog.Version), l.catalog)
	l.served.Store(&held)
}

// serveUpstreams makes the present list of upstreams available to peers.
func (l *Loop) serveUpstreams() {
	held := *l.served.Load()
	held.upstreams = held.upstreams.with(l.upstreamsVersion, l.registry.present())
	l.served.Store(&held)
}

// addTables adds the tables to a reply as far as the peer does not know them.
func (l *Loop) addTables(reply *StateReply, known StateQuery) error {
	held := l.served.Load()
	var err error
	reply.Catalog, reply.CatalogOffer, err = held.catalog.forPeer(int64(known.CatalogVersion), known.TakesOffers)
	if err != nil {
		return err
	}
	reply.Upstreams, reply.UpstreamsOffer, err = held.upstreams.forPeer(known.UpstreamsVersion, known.TakesOffers)
	if err != nil {
		return err
	}
	if reply.Upstreams != nil || reply.UpstreamsOffer != nil {
		reply.UpstreamsVersion = held.upstreams.newest.version
	}
	return nil
}
