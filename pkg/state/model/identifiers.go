package model

// InstanceID identifies one process of the proxy. A new process always gets a
// new ID.
type InstanceID string

// DataCentre is the name of a data centre within a region.
type DataCentre string

// GroupID identifies a database group: one primary and its replicas.
type GroupID string

// UpstreamID identifies one database server of a group.
type UpstreamID string

// CallerName is the authenticated user name of a caller.
type CallerName string

// SessionID identifies a session of a caller: the caller name and, if the client
// sent it, a startup parameter that tells the caller's sessions apart.
type SessionID string

// Revision numbers the configuration bundles; a higher revision is newer.
type Revision uint64

// Generation numbers the primaries of a group; a higher generation is newer.
type Generation uint64
