package telemetry

// Metrics of callers and statements.
var (
	CallerConnections = gauge("gypsumdock_caller_connections", "Open connections of callers.")
	CallerAuthFailed  = counter("gypsumdock_caller_auth_failed_total", "Connections of callers refused because authentication failed.")
	Requests          = counter("gypsumdock_requests_total", "Units of work received: a statement outside a transaction, or a transaction.", "group")
	Answers           = counter("gypsumdock_answers_total", "Units of work answered, by outcome: ran, not_run or may_have_run.", "group", "outcome")
	Reads             = counter("gypsumdock_reads_total", "Read-only units of work by target: primary or replica.", "group", "target")
	RequestSeconds    = histogram("gypsumdock_request_seconds", "Time from a unit's arrival to its answer.", "group")
	Forwarded         = counter("gypsumdock_forwarded_total", "Statements forwarded to a server of the group, by outcome: answered, not_run or may_have_run.", "group", "outcome")
	ForwardAttempts   = counter("gypsumdock_forward_attempts_total", "Attempts to send the first statement of a unit of work to a server of its group.", "group")
	AccessRefused     = counter("gypsumdock_access_refused_total", "Sessions and statements not run by the access key of their client account, by reason.", "reason")
	Retries           = counter("gypsumdock_retries_total", "Units of work that the proxy retried after an outcome of not_run.", "group")
)

// Metrics of upstreams.
var (
	UpstreamOpened          = counter("gypsumdock_upstream_connections_opened_total", "Connections opened to upstreams.", "upstream")
	UpstreamClosed          = counter("gypsumdock_upstream_connections_closed_total", "Connections to upstreams closed.", "upstream")
	UpstreamOpenedNoneIdle  = counter("gypsumdock_upstream_connections_opened_none_idle_total", "Connections opened for a unit of work because none of its caller was idle; a subset of those opened.", "upstream")
	UpstreamClosedForCaller = counter("gypsumdock_upstream_connections_closed_for_caller_total", "Idle connections closed at the bound to open one for another caller; a subset of those closed.", "upstream")
	UpstreamConnections     = gauge("gypsumdock_upstream_connections", "Open connections to upstreams.", "upstream")
	UpstreamGrant           = gauge("gypsumdock_upstream_grant", "Connections that this instance may hold to the upstream.", "upstream")
	UpstreamLag             = gauge("gypsumdock_upstream_lag_seconds", "Upper bound of a replica's lag in seconds.", "upstream")
	UpstreamSeconds         = histogram("gypsumdock_upstream_seconds", "Time that an upstream took for a unit of work.", "upstream")
)

// Metrics of the balance between servers and upstreams.
var (
	ServersAvoided    = gauge("gypsumdock_servers_avoided", "Servers that get trials only, since they answer clearly later than others.")
	UpstreamAvoided   = gauge("gypsumdock_upstream_avoided", "1 while the upstream gets only trials of the reads that others can take, since it fails clearly more statements than they do; else 0.", "upstream")
	UpstreamFaults    = counter("gypsumdock_upstream_faults_total", "Statements that an upstream failed although they should not fail.", "upstream")
	UpstreamLimit     = gauge("gypsumdock_upstream_outstanding_limit", "Statements that this instance may have outstanding at the upstream.", "upstream")
	LoadReportsSent   = counter("gypsumdock_load_reports_sent_total", "Messages to servers of the same group about outstanding statements.")
	LoadReportedBytes = counter("gypsumdock_load_report_bytes_total", "Bytes of these messages without their frames.")
	LoadsRefused      = counter("gypsumdock_loads_refused_total", "Loads reported by peers that were refused, by message: reply or report.", "message")
)

// Metrics of the mesh.
var (
	MeshPeers     = gauge("gypsumdock_mesh_peers", "Peers with an open mesh session.")
	MeshCalls     = counter("gypsumdock_mesh_calls_total", "Calls to peers, by result: ok, timeout or failed.", "result")
	MeshBytes     = counter("gypsumdock_mesh_bytes_total", "Bytes of mesh traffic on the wire, by direction: in or out.", "direction")
	MeshLateBytes = counter("gypsumdock_mesh_late_bytes_total", "Bytes of answers that arrived after their calls had been given up.")
	MeshForwards  = counter("gypsumdock_mesh_forwards_total", "Units of work forwarded to a peer.")
)

// Metrics of the reads of the platform's store.
var (
	StoreBytes = counter("gypsumdock_store_bytes_total", "Bytes of bodies that the store sent, by outcome of the call: complete, or cut short by a time limit, a cancellation or a fault.", "outcome")
)

// Metrics of failover and permits.
var (
	PermitValid     = gauge("gypsumdock_permit_valid", "1 while this instance may send writes to the group, else 0.", "group")
	GroupGeneration = gauge("gypsumdock_group_generation", "Generation of the group's primary.", "group")
)

// Metrics of sessions and admission.
var (
	SessionMarks     = gauge("gypsumdock_session_marks", "Marks of writes held for sessions.")
	WritesLost       = counter("gypsumdock_writes_lost_total", "Sessions that were told that a write did not survive a change of primary.", "group")
	QueueSeconds     = histogram("gypsumdock_queue_seconds", "Time that a unit of work waited for admission: for its marks, a position and a slot.", "group")
	AdmissionRefused = counter("gypsumdock_admission_refused_total", "Units of work refused because they would miss their deadline.", "group")
)

// Metrics of the queues of the groups.
var (
	PriorityWaitSeconds = histogram("gypsumdock_priority_wait_seconds", "Time that a unit of work waited in the queue of its group until it got an upstream or was refused, by priority of its route: 0, 1, 2 or lower.", "priority")
	PriorityRefused     = counter("gypsumdock_priority_refused_total", "Units of work that the queue of their group refused, by priority of their route and reason.", "priority", "reason")
)

// Metrics of the rate limits of callers. The first 100 callers by name have a
// series each, the others share one with the name other.
var (
	QuotaUsed    = counter("gypsumdock_quota_used_total", "Units of work of a caller with a rate limit that this instance admitted.", "caller")
	QuotaRefused = counter("gypsumdock_quota_refused_total", "Units of work of a caller that this instance refused because the caller is over its rate limit.", "caller")
	QuotaTokens  = gauge("gypsumdock_quota_tokens", "Units of work that a caller may run at once over all instances, by the knowledge of this one; negative while use that was reported late is paid back.", "caller")
	QuotaReports = counter("gypsumdock_quota_reports_total", "Reports of the use of callers sent to other members.")
	QuotaInvalid = counter("gypsumdock_quota_invalid_total", "Entries of reports of use that were dropped because they are invalid.")
)

// Metrics of the configuration, the platform, and the instance's checks of
// itself.
var (
	ConfigurationRevision = gauge("gypsumdock_configuration_revision", "Revision of the active configuration.")
	ConfirmationAge       = gauge("gypsumdock_confirmation_age_seconds", "Time since the active configuration was known to be the newest, if it has client accounts.")
	HeadConfirmationAge   = gauge("gypsumdock_head_confirmation_age_seconds", "Time since the head row was last known to be the newest. Permits end when it exceeds their lifetime.")
	HeadReads             = counter("gypsumdock_head_reads_total", "Reads of the head row, by source: store or member, and by outcome: answered or failed.", "source", "outcome")
	PlatformCalls         = counter("gypsumdock_platform_calls_total", "Calls to the platform, by operation (read or write), mechanism (first part of the key) and result (ok or failed).", "operation", "mechanism", "result")
	PlatformSeconds       = histogram("gypsumdock_platform_seconds", "Time that a call to the platform took.", "operation")
	EventsLogged          = counter("gypsumdock_events_total", "Events logged, by number; see EVENTS.md.", "event")
	AuditDifferences      = counter("gypsumdock_audit_differences_total", "Differences found between counters that must agree.", "check")
)
