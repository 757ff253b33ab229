package bundle

import (
	"time"

	"gypsumdock/pkg/state/model"
)

// Defaults of keys that a file may omit.
const (
	DefaultDeadline       = 5 * time.Second
	DefaultWeight         = 1
	DefaultMaxConnections = 1000
)

// fileSchema is the structure of one TOML file.
type fileSchema struct {
	Groups  []groupSchema  `toml:"group"`
	Routes  []routeSchema  `toml:"route"`
	Callers []callerSchema `toml:"caller"`
	// Leaving lists upstreams to mark as leaving.
	Leaving []model.UpstreamID `toml:"leaving"`
}

// mergeMode tells whether an entry replaces or removes the entry of the same
// name in an earlier file.
type mergeMode struct {
	override, remove bool
}

type groupSchema struct {
	ID        model.GroupID    `toml:"id"`
	Override  bool             `toml:"override"`
	Remove    bool             `toml:"remove"`
	Database  string           `toml:"database"`
	User      string           `toml:"user"`
	Password  string           `toml:"password"`
	Primary   model.UpstreamID `toml:"primary"`
	Timeline  uint32           `toml:"timeline"`
	Upstreams []upstreamSchema `toml:"upstream"`
}

type upstreamSchema struct {
	ID          model.UpstreamID `toml:"id"`
	Address     string           `toml:"address"`
	DataCentre  model.DataCentre `toml:"data_centre"`
	Slots       int              `toml:"slots"`
	Connections int              `toml:"connections"`
	Leaving     bool             `toml:"leaving"`
}

type routeSchema struct {
	Name         string             `toml:"name"`
	Override     bool               `toml:"override"`
	Remove       bool               `toml:"remove"`
	Group        model.GroupID      `toml:"group"`
	Tag          string             `toml:"tag"`
	Callers      []model.CallerName `toml:"callers"`
	ReadOnly     bool               `toml:"read_only"`
	MaxAge       time.Duration      `toml:"max_age"`
	AtMostOnce   bool               `toml:"at_most_once"`
	Deadline     time.Duration      `toml:"deadline"`
	WaitReplicas int                `toml:"wait_replicas"`
}

type callerSchema struct {
	Name           model.CallerName `toml:"name"`
	Override       bool             `toml:"override"`
	Remove         bool             `toml:"remove"`
	Verifier       string           `toml:"verifier"`
	Weight         int              `toml:"weight"`
	MaxConnections int              `toml:"max_connections"`
	Rate           float64          `toml:"rate"`
	Burst          float64          `toml:"burst"`
	Priority       int              `toml:"priority"`
}

func (s *groupSchema) toGroup() Group {
	group := Group{
		ID:       s.ID,
		Database: s.Database,
		User:     s.User,
		Password: s.Password,
		Primary:  s.Primary,
		Timeline: s.Timeline,
	}
	for _, upstream := range s.Upstreams {
		group.Upstreams = append(group.Upstreams, Upstream(upstream))
	}
	return group
}

func (s *routeSchema) toRoute() Route {
	route := Route{
		Name:         s.Name,
		Group:        s.Group,
		Tag:          s.Tag,
		Callers:      s.Callers,
		ReadOnly:     s.ReadOnly,
		MaxAge:       s.MaxAge,
		AtMostOnce:   s.AtMostOnce,
		Deadline:     s.Deadline,
		WaitReplicas: s.WaitReplicas,
	}
	return route
}

func (s *callerSchema) toCaller() Caller {
	return Caller{
		Name:           s.Name,
		Verifier:       s.Verifier,
		Weight:         s.Weight,
		MaxConnections: s.MaxConnections,
		Rate:           s.Rate,
		Burst:          s.Burst,
		Priority:       s.storedPriority(),
	}
}
