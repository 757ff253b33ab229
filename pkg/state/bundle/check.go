package bundle

import (
	"fmt"
	"net/netip"
	"regexp"
	"strings"
	"time"

	"gypsumdock/pkg/state/model"
)

// Limits that a bundle must keep.
const (
	// ReservedConnections is the number of connections to each upstream that
	// are kept free for probes and promotion.
	ReservedConnections = 2

	maxUpstreams      = 64
	maxSlots          = 10_000
	maxConnections    = 100_000
	maxAge            = time.Hour
	minDeadline       = time.Millisecond
	maxDeadline       = 10 * time.Minute
	maxWeight         = 1000
	maxCallerSessions = 1_000_000
)

var validName = regexp.MustCompile(`^[A-Za-z0-9_.-]{1,63}$`)

const nameRule = "must have 1 to 63 letters, digits, '-', '_' or '.', not %q"

// entryRef names an entry of a bundle by its position in the slice of its kind.
type entryRef struct {
	kind  Kind
	index int
}

// reporter records a problem of a field of an entry.
type reporter func(at entryRef, field, format string, args ...any)

// Check returns every problem of a bundle that was not built by Merge. The
// problems name no file and no line.
func Check(b *Bundle) []Problem {
	var problems []Problem
	check(b, func(at entryRef, field, format string, args ...any) {
		key := fmt.Sprintf("%s[%d].%s", at.kind, at.index, field)
		problems = append(problems, Problem{Key: key, Reason: fmt.Sprintf(format, args...)})
	})
	return problems
}

func check(b *Bundle, report reporter) {
	c := &checker{
		bundle:    b,
		report:    report,
		databases: map[string]model.GroupID{},
		upstreams: map[model.UpstreamID]model.GroupID{},
		addresses: map[string]model.UpstreamID{},
		callers:   map[model.CallerName]bool{},
	}
	for i := range b.Groups {
		c.group(entryRef{KindGroup, i}, &b.Groups[i])
	}
	for i := range b.Routes {
		c.route(entryRef{KindRoute, i}, &b.Routes[i])
		c.overlaps(i)
	}
	for i := range b.Callers {
		c.caller(entryRef{KindCaller, i}, &b.Callers[i])
	}
}

// checker checks the entries of a bundle. Its maps hold the values that must be
// unique and were seen so far, with the entry that has them.
type checker struct {
	bundle    *Bundle
	report    reporter
	databases map[string]model.GroupID
	upstreams map[model.UpstreamID]model.GroupID
	addresses map[string]model.UpstreamID
	callers   map[model.CallerName]bool
}

func (c *checker) group(at entryRef, group *Group) {
	c.name(at, "id", string(group.ID))
	c.name(at, "database", group.Database)
	c.name(at, "user", group.User)
	if other, taken := c.databases[group.Database]; taken {
		c.report(at, "database", "%q is already served by group %q", group.Database, other)
	}
	c.databases[group.Database] = group.ID
	c.count(at, "upstream", len(group.Upstreams), 1, maxUpstreams)
	if _, ok := group.Upstream(group.Primary); group.Primary != "" && !ok {
		c.report(at, "primary", "must be one of the group's upstreams, not %q", group.Primary)
	}
	for i := range group.Upstreams {
		c.upstream(at, fmt.Sprintf("upstream[%d].", i), group.ID, &group.Upstreams[i])
	}
}

func (c *checker) upstream(at entryRef, prefix string, group model.GroupID, upstream *Upstream) {
	c.name(at, prefix+"id", string(upstream.ID))
	if other, taken := c.upstreams[upstream.ID]; taken {
		c.report(at, prefix+"id", "%q is already an upstream of group %q", upstream.ID, other)
	}
	c.upstreams[upstream.ID] = group
	c.address(at, prefix+"address", upstream)
	c.name(at, prefix+"data_centre", string(upstream.DataCentre))
	c.count(at, prefix+"slots", upstream.Slots, 1, maxSlots)
	c.count(at, prefix+"connections", upstream.Connections, upstream.Slots+ReservedConnections, maxConnections)
}

func (c *checker) address(at entryRef, field string, upstream *Upstream) {
	parsed, err := netip.ParseAddrPort(upstream.Address)
	if err != nil || parsed.Port() == 0 || parsed.Addr().IsUnspecified() {
		c.report(at, field, "must be IP:port with a port above 0 and an IP of one machine, not %q", upstream.Address)
		return
	}
	if other, taken := c.addresses[upstream.Address]; taken {
		c.report(at, field, "%s is already the address of upstream %q", upstream.Address, other)
	}
	c.addresses[upstream.Address] = upstream.ID
}

func (c *checker) route(at entryRef, route *Route) {
	c.name(at, "name", route.Name)
	if route.Tag != "" {
		c.name(at, "tag", route.Tag)
	}
	c.duration(at, "deadline", route.Deadline, minDeadline, maxDeadline)
	c.duration(at, "max_age", route.MaxAge, 0, maxAge)
	if route.MaxAge > 0 && !route.ReadOnly {
		c.report(at, "max_age", "requires read_only = true, as only a read can accept stale data")
	}
	if route.WaitReplicas > 0 && route.ReadOnly {
		c.report(at, "wait_replicas", "must be 0 if read_only = true, as a read is not replicated")
	}
	for _, name := range route.Callers {
		if _, ok := c.bundle.Caller(name); !ok {
			c.report(at, "callers", "caller %q is not defined", name)
		}
	}
	group, ok := c.bundle.Group(route.Group)
	if !ok {
		c.report(at, "group", "group %q is not defined", route.Group)
		return
	}
	c.count(at, "wait_replicas", route.WaitReplicas, 0, len(group.Upstreams)-1)
}

// overlaps reports a problem for each earlier route that RouteFor could not tell
// from the route at index.
func (c *checker) overlaps(index int) {
	route := &c.bundle.Routes[index]
	for i := range index {
		other := &c.bundle.Routes[i]
		if route.overlaps(other) {
			c.report(entryRef{KindRoute, index}, "", "matches the same statements as route %q; give one of them its own tag or callers", other.Name)
		}
	}
}

func (c *checker) caller(at entryRef, caller *Caller) {
	c.name(at, "name", string(caller.Name))
	// Merge reports duplicates itself, as only it knows both places; a stored
	// bundle is checked here.
	if c.callers[caller.Name] {
		c.report(at, "name", "%q is the name of an earlier caller", caller.Name)
	}
	c.callers[caller.Name] = true
	if _, err := ParseVerifier(caller.Verifier); err != nil {
		c.report(at, "verifier", "%v; gypsumctl verifier creates one", err)
	}
	c.count(at, "weight", caller.Weight, 1, maxWeight)
	c.count(at, "max_connections", caller.MaxConnections, 1, maxCallerSessions)
	c.policy(at, caller)
}

func (c *checker) name(at entryRef, field, text string) {
	if !validName.MatchString(text) {
		c.report(at, field, nameRule, text)
	}
}

func (c *checker) count(at entryRef, field string, value, least, most int) {
	if value < least || value > most {
		c.report(at, field, "must be from %d to %d, not %d", least, most, value)
	}
}

func (c *checker) duration(at entryRef, field string, value, least, most time.Duration) {
	if value < least || value > most {
		c.report(at, field, "must be from %s to %s, not %s", least, most, value)
	}
}

// FormatProblems formats the problems, one on each line.
func FormatProblems(problems []Problem) string {
	var out strings.Builder
	for _, problem := range problems {
		out.WriteString(problem.String() + "\n")
	}
	return out.String()
}
