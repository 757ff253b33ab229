package region

import (
	"encoding/json"
	"time"

	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/state/model"
)

// applyTables adopts the tables in the reply of a peer to a query that was sent at
// started, and starts to fetch those that it offers.
func (l *Loop) applyTables(started time.Duration, from model.InstanceID, reply *StateReply) {
	if reply.Current {
		l.lastCurrentQueryAt = started
	}
	if reply.Catalog == nil || l.applyPeerCatalog(reply.Catalog) {
		l.confirmFromPeer(started, reply)
	}
	if offer := reply.CatalogOffer; offer != nil && !l.holdsCatalog(catalog.Version(offer.Version)) {
		l.catalogFetch.start(from, offer, func(data []byte, _ int64) { l.applyPeerCatalog(data) })
	}
	if reply.Upstreams != nil {
		l.applyPeerUpstreams(reply.Upstreams, reply.UpstreamsVersion)
	}
	if offer := reply.UpstreamsOffer; offer != nil && offer.Version > l.upstreamsVersion {
		l.upstreamsFetch.start(from, offer, l.applyPeerUpstreams)
	}
}

// holdsCatalog reports whether the version or a newer one is active.
func (l *Loop) holdsCatalog(version catalog.Version) bool {
	return l.catalog != nil && l.catalog.Version >= version
}

// applyPeerCatalog adopts the configuration of a peer, which is JSON. It returns
// false if that cannot be decoded.
func (l *Loop) applyPeerCatalog(data []byte) bool {
	offered := &catalog.Catalog{}
	if err := json.Unmarshal(data, offered); err != nil {
		l.logRejectedRow("configuration of a peer", Entry{}, err)
		return false
	}
	l.adoptCatalog(offered)
	return true
}

// applyPeerUpstreams replaces the list of upstreams by the one of a peer, which is
// JSON, if that is newer.
func (l *Loop) applyPeerUpstreams(data []byte, version int64) {
	if version <= l.upstreamsVersion {
		return
	}
	var all []catalog.Upstream
	if err := json.Unmarshal(data, &all); err != nil {
		l.logRejectedRow("databases of a peer", Entry{}, err)
		return
	}
	l.upstreamsVersion = version
	l.logUpstreamChanges(all)
	if l.registry.replace(l.now(), all) {
		l.updateGroupSpecs()
	}
	l.serveUpstreams()
	l.publish()
}
