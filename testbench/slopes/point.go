package slopes

import (
	"fmt"
	"time"

	"gypsumdock/testbench/profile"
)

// Point is the size of a cluster.
type Point struct {
	Instances int `json:"instances"`
	Groups    int `json:"groups"`
	// DataCentres is the number of data centres that the instances are spread
	// over.
	DataCentres int `json:"data_centres"`
	// Rate is the number of requests a second to each instance.
	Rate int `json:"rate"`
}

// Config is a run over several points.
type Config struct {
	Points []Point
	// Settle is the time between readiness and the window.
	Settle time.Duration
	// Window is the time that the counters are read over.
	Window time.Duration
	// Changes adds a failover and a configuration apply after the window.
	Changes bool
}

const (
	// upstreamsOfGroup is the number of upstreams in a group.
	upstreamsOfGroup = 3
	// connections is each upstream's limit, high enough for the probes of all
	// instances.
	connections = 200
	// slots is each upstream's number of statements at a time.
	slots = 8
)

// deployment returns the profile of a point.
func deployment(p Point) profile.Profile {
	made := profile.Tregwynt()
	made.Name = "slopes"
	made.DataCentres = names("dc", p.DataCentres)
	made.Groups = nil
	made.Slots = slots
	made.Connections = connections
	for n := range p.Groups {
		made.Groups = append(made.Groups, deployedGroup(n, p.DataCentres))
	}
	return made
}

func deployedGroup(n, dataCentres int) profile.Group {
	g := profile.Group{ID: fmt.Sprintf("group-%02d", n), Database: fmt.Sprintf("database_%02d", n)}
	for u := range upstreamsOfGroup {
		g.Upstreams = append(g.Upstreams, profile.Upstream{
			ID:         fmt.Sprintf("%s-u%d", g.ID, u),
			DataCentre: fmt.Sprintf("dc-%d", u%dataCentres),
		})
	}
	return g
}

func names(prefix string, count int) []string {
	made := make([]string, count)
	for n := range made {
		made[n] = fmt.Sprintf("%s-%d", prefix, n)
	}
	return made
}
