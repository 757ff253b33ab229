package region

import (
	"log/slog"
	"maps"

	"gypsumdock/pkg/events"
	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/state/failover"
	"gypsumdock/pkg/state/model"
)

// configurationChanged processes changed rows of the configuration table.
func (l *Loop) configurationChanged(changed tableChange) {
	if changed.complete {
		l.confirmation.ReadCompletely()
	}
	for _, entry := range changed.entries {
		offered, err := l.decodeConfiguration(entry)
		l.showRow(changed, entry, offered, err)
		if err != nil {
			l.logRejectedRow("configuration", entry, err)
			continue
		}
		l.adoptCatalog(offered)
	}
	if l.catalog != nil {
		l.confirmation.Answered(changed.startedAt, l.catalog.Version)
	}
}

func (l *Loop) decodeConfiguration(entry Entry) (*catalog.Catalog, error) {
	if entry.Unreadable {
		return nil, errUnreadableRow
	}
	return l.config.Decoder.Configuration(entry)
}

// adoptCatalog makes a configuration the active one if it is newer.
func (l *Loop) adoptCatalog(offered *catalog.Catalog) {
	newest := catalog.Newer(l.catalog, offered)
	if newest == l.catalog {
		return
	}
	l.logCallerChanges(l.catalog, newest)
	l.catalog = newest
	events.Log(l.ctx, l.config.Logger, events.CatalogAdopted,
		slog.Uint64("version", uint64(newest.Version)),
		slog.Int("routes", len(newest.Routes)), slog.Int("groups", len(newest.Groups)))
	l.confirmation.Activated(newest.Version)
	l.serveCatalog()
	l.updateGroupSpecs()
	l.publish()
}

// databasesChanged processes changed rows of the databases table, in which
// upstreams register.
func (l *Loop) databasesChanged(changed tableChange) {
	now := l.now()
	var all []catalog.Upstream
	for _, entry := range changed.entries {
		if entry.Deleted {
			l.registry.remove(now, model.UpstreamID(entry.Key))
			continue
		}
		upstream, err := l.config.Decoder.Upstream(entry)
		if err != nil {
			l.logRejectedRow("databases", entry, err)
			continue
		}
		all = append(all, upstream)
	}
	l.logUpstreamChanges(all)
	different := false
	if changed.complete {
		different = l.registry.replace(now, all)
	} else {
		for _, upstream := range all {
			different = l.registry.put(upstream) || different
		}
	}
	l.upstreamsVersion = max(l.upstreamsVersion, changed.version)
	l.serveUpstreams()
	if different {
		l.updateGroupSpecs()
		l.publish()
	}
}

// logUpstreamChanges logs the upstreams that are new or differ from the
// registry.
func (l *Loop) logUpstreamChanges(all []catalog.Upstream) {
	for _, upstream := range all {
		known, exists := l.registry.upstreams[upstream.ID]
		switch {
		case !exists:
			l.logUpstreamChange(upstream, "new")
		case known != upstream:
			l.logUpstreamChange(upstream, "changed")
		}
	}
}

func (l *Loop) logUpstreamChange(upstream catalog.Upstream, change string) {
	events.Log(l.ctx, l.config.Logger, events.UpstreamChanged,
		slog.String("upstream", string(upstream.ID)), slog.String("change", change),
		slog.String("group", string(upstream.Group)), slog.String("address", upstream.Address),
		slog.Bool("draining", upstream.Draining), slog.Bool("claims_primary", upstream.ClaimsPrimary))
}

// logRejectedRow logs a row that can't be decoded and is therefore ignored.
func (l *Loop) logRejectedRow(table string, entry Entry, err error) {
	events.Log(l.ctx, l.config.Logger, events.TableRowRefused, slog.String("table", table),
		slog.String("row", entry.Key), slog.Int64("version", entry.Version), slog.Any("error", err))
}

// updateGroupSpecs tells the failover machine which groups and upstreams are in
// use, if that has changed.
func (l *Loop) updateGroupSpecs() {
	if l.catalog == nil {
		return
	}
	l.updateServing()
	l.topologyVersion++
	event := failover.BundleAdopted{}
	upstreams := make(map[model.UpstreamID]catalog.Upstream)
	for _, group := range l.catalog.RoutedGroups() {
		if !l.serving[group.ID].Local {
			delete(l.groups, group.ID)
			continue
		}
		spec := failover.GroupSpec{ID: group.ID, SyncReplicas: group.SyncReplicas, Servers: l.serverIDs(group.ID)}
		for _, upstream := range l.upstreamsWithPrimary(group.ID) {
			upstreams[upstream.ID] = upstream
			spec.Upstreams = append(spec.Upstreams, failover.UpstreamSpec{
				ID: upstream.ID, DataCentre: upstream.DataCentre, Leaving: upstream.Draining,
			})
		}
		event.Groups = append(event.Groups, spec)
		l.ensureMonitor(group.ID)
	}
	if maps.Equal(upstreams, l.upstreams) && l.matchesLastSpec(event) {
		return
	}
	l.upstreams = upstreams
	l.lastSpec = event
	l.step(event)
}
