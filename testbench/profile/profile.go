// Package profile describes the deployments that the tests, the demo and the
// load tool run: their groups, callers and routes.
package profile

import "time"

// Profile is a deployment.
type Profile struct {
	Name        string
	Region      string
	DataCentres []string
	Groups      []Group
	Callers     []Caller
	Routes      Routes
	// Slots and Connections are the limits of each upstream.
	Slots       int
	Connections int
	// Connect and Statement are the times that an upstream takes to accept a
	// connection and to run a statement.
	Connect   time.Duration
	Statement time.Duration
}

// Group is a database group; its first upstream starts as the primary.
type Group struct {
	ID       string
	Database string
	// Upstreams has one entry for each data centre.
	Upstreams []Upstream
}

// Upstream is one database server.
type Upstream struct {
	ID         string
	DataCentre string
}

// Caller is a user with a password.
type Caller struct {
	Name     string
	Password string
	Weight   int
}

// Routes are the sqlcommenter tags of a deployment's routes; each group has
// all of them.
type Routes struct {
	// Aged reads accept data of MaxAge.
	Aged   string
	MaxAge time.Duration
	// Fresh reads state no age.
	Fresh string
	// Once writes run at most once.
	Once string
	// Record writes may be repeated by their caller.
	Record string
	// Deadline bounds every request.
	Deadline time.Duration
}

// UpstreamUser is the user of all upstreams.
const UpstreamUser = "gypsumdock"

// UpstreamPassword is the password of UpstreamUser.
const UpstreamPassword = "example"

const (
	connectCost   = 12 * time.Millisecond
	statementCost = 2 * time.Millisecond
	deadline      = 5 * time.Second
)

// Tregwynt is the deployment of Tregwynt Reefer Systems.
func Tregwynt() Profile {
	return Profile{
		Name:        "tregwynt",
		Region:      "cymru-south",
		DataCentres: []string{"quay-east", "quay-west", "gate-north"},
		Groups: []Group{
			group("plugs-east", "plugs_east", "quay-east", "quay-west", "gate-north"),
			group("plugs-west", "plugs_west", "quay-west", "gate-north", "quay-east"),
			group("plugs-north", "plugs_north", "gate-north", "quay-east", "quay-west"),
		},
		Callers: []Caller{
			{"reefer-technician", "reefer-technician-example", 3},
			{"crane-planner", "crane-planner-example", 2},
			{"shipping-desk", "shipping-desk-example", 1},
		},
		Routes: Routes{
			Aged: "free_sockets", MaxAge: 5 * time.Second, Fresh: "plug_state",
			Once: "assign_plug", Record: "record_plug", Deadline: deadline,
		},
		Slots:       2,
		Connections: 16,
		Connect:     connectCost,
		Statement:   statementCost,
	}
}

// Lankapower is the deployment of Lankapower Generator Hire.
func Lankapower() Profile {
	return Profile{
		Name:        "lankapower",
		Region:      "western-lk",
		DataCentres: []string{"colombo", "gampaha", "kalutara"},
		Groups: []Group{
			group("hire-colombo", "hire_colombo", "colombo", "gampaha", "kalutara"),
			group("hire-gampaha", "hire_gampaha", "gampaha", "kalutara", "colombo"),
			group("hire-kalutara", "hire_kalutara", "kalutara", "colombo", "gampaha"),
		},
		Callers: []Caller{
			{"field-technician", "field-technician-example", 3},
			{"franchise-counter", "franchise-counter-example", 2},
			{"hotel-client", "hotel-client-example", 1},
		},
		Routes: Routes{
			Aged: "unit_status", MaxAge: 10 * time.Second, Fresh: "service_history",
			Once: "hire_order", Record: "service_visit", Deadline: deadline,
		},
		Slots:       5,
		Connections: 55,
		Connect:     connectCost,
		Statement:   statementCost,
	}
}

// Named returns the profile of that name.
func Named(name string) (Profile, bool) {
	for _, p := range []Profile{Tregwynt(), Lankapower()} {
		if p.Name == name {
			return p, true
		}
	}
	return Profile{}, false
}

func group(id, database string, dataCentres ...string) Group {
	g := Group{ID: id, Database: database}
	for _, dataCentre := range dataCentres {
		g.Upstreams = append(g.Upstreams, Upstream{ID: id + "-in-" + dataCentre, DataCentre: dataCentre})
	}
	return g
}
