package region

import (
	"encoding/json"
	"slices"
	"sync"

	"github.com/go-faster/errors"

	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/state/transfer"
)

// maxInlineBytes is the size up to which a table is sent whole within a reply.
// Larger ones are offered, and fetched in parts by calls of their own, so that a
// reply arrives in time over any link and delays nothing behind it.
const maxInlineBytes = transfer.PartBytes

// maxRecentTables is the number of superseded versions of the tables that peers may
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
	// blob is nil if the table is sent whole to any peer.
	blob *transfer.Blob
	err  error
}

// encodeOnce encodes the table on the first call.
func (t *servedTable) encodeOnce() error {
	t.encode.Do(func() {
		t.json, t.err = json.Marshal(t.content)
		if t.err == nil && len(t.json) > maxInlineBytes {
			t.blob, t.err = transfer.Encode(t.json)
		}
	})
	return t.err
}

// isOffered reports whether a peer that takes offers gets one for the table. The
// table must be encoded.
func (t *servedTable) isOffered(takesOffers bool) bool { return takesOffers && t.blob != nil }

func (t *servedTable) offer() *TableOffer {
	return &TableOffer{Version: t.version, Offer: t.blob.Offer()}
}

// servedTables holds the tables as this instance sends them to peers. It is
// immutable.
type servedTables struct {
	// catalog is nil before the first configuration.
	catalog   *servedTable
	upstreams *servedTable
	// recent holds versions that were superseded, the newest first.
	recent []*servedTable
}

// withCatalog returns the tables with another configuration.
func (t *servedTables) withCatalog(newest *catalog.Catalog) *servedTables {
	table := &servedTable{version: int64(newest.Version), content: newest}
	return &servedTables{catalog: table, upstreams: t.upstreams, recent: t.withRecent(t.catalog)}
}

// withUpstreams returns the tables with another list of upstreams.
func (t *servedTables) withUpstreams(version int64, all []catalog.Upstream) *servedTables {
	table := &servedTable{version: version, content: all}
	return &servedTables{catalog: t.catalog, upstreams: table, recent: t.withRecent(t.upstreams)}
}

func (t *servedTables) withRecent(superseded *servedTable) []*servedTable {
	if superseded == nil {
		return t.recent
	}
	recent := append([]*servedTable{superseded}, t.recent...)
	return recent[:min(len(recent), maxRecentTables)]
}

// part returns the part of an offered table that begins at the offset.
func (t *servedTables) part(digest transfer.Digest, offset int) ([]byte, error) {
	for _, table := range slices.Concat([]*servedTable{t.catalog, t.upstreams}, t.recent) {
		if table == nil || table.encodeOnce() != nil || table.blob == nil || table.blob.Offer().Digest != digest {
			continue
		}
		if part := table.blob.Part(offset); len(part) > 0 {
			return part, nil
		}
	}
	return nil, ErrPartGone
}

// AnswerPart returns the part of a table that this instance has offered, or
// ErrPartGone.
func (l *Loop) AnswerPart(digest transfer.Digest, offset int) ([]byte, error) {
	return l.served.Load().part(digest, offset)
}

// serveCatalog makes the active configuration available to peers.
func (l *Loop) serveCatalog() { l.served.Store(l.served.Load().withCatalog(l.catalog)) }

// serveUpstreams makes the present list of upstreams available to peers.
func (l *Loop) serveUpstreams() {
	l.served.Store(l.served.Load().withUpstreams(l.upstreamsVersion, l.registry.present()))
}

// addTables adds the tables to a reply as far as the peer does not know them.
func (l *Loop) addTables(reply *StateReply, known StateQuery) error {
	held := l.served.Load()
	if table := held.catalog; table != nil && catalog.Version(table.version) > known.CatalogVersion {
		if err := table.encodeOnce(); err != nil {
			return err
		}
		if table.isOffered(known.TakesOffers) {
			reply.CatalogOffer = table.offer()
		} else {
			reply.Catalog = table.json
		}
	}
	if table := held.upstreams; table != nil && table.version > known.UpstreamsVersion {
		if err := table.encodeOnce(); err != nil {
			return err
		}
		reply.UpstreamsVersion = table.version
		if table.isOffered(known.TakesOffers) {
			reply.UpstreamsOffer = table.offer()
		} else {
			reply.Upstreams = table.json
		}
	}
	return nil
}
