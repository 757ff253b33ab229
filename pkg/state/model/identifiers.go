package model

// InstanceID names one process of the proxy. A replaced process gets a new ID.
type InstanceID string

// DataCentre names a data centre within a region.
type DataCentre string

// GroupID names a database group: one primary and its replicas.
type GroupID string

// UpstreamID names one database server of a group.
type UpstreamID string

// CallerName is the authenticated user name of a caller.
type CallerName string

// SessionID names a caller's session: the caller name and, where the client
// gives one, the startup parameter that tells its sessions apart.
type SessionID string

// Revision numbers the configuration bundles; a higher revision is newer.
type Revision uint64

// Generation numbers the primaries of a group; a higher generation is newer.
type Generation uint64
