// Package traces holds the recorded traces of the two deployments. They are
// made from seeds, so that each file can be made again byte for byte.
package traces

import (
	"bytes"
	"embed"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"gypsumdock/testbench/profile"
	"gypsumdock/testbench/trace"
)

// files holds the traces as they were recorded.
//
//go:embed *.jsonl
var files embed.FS

// The names of the traces.
const (
	NightPrimaryLost = "night-primary-lost"
	BusyMorning      = "busy-morning-lagging-replicas"
	RollingReplace   = "rolling-replacement"
	PlatformDown     = "platform-down-hour"
)

// Names lists the traces.
func Names() []string {
	return []string{NightPrimaryLost, BusyMorning, RollingReplace, PlatformDown}
}

// Open reads a trace.
func Open(name string) (*trace.Trace, error) {
	data, err := files.ReadFile(name + ".jsonl")
	if err != nil {
		return nil, err
	}
	return trace.Parse(bytes.NewReader(data))
}

const instances = 4

// Generate makes a trace from its seed.
func Generate(name string) (*trace.Trace, bool) {
	switch name {
	case NightPrimaryLost:
		return nightPrimaryLost(), true
	case BusyMorning:
		return busyMorning(), true
	case RollingReplace:
		return rollingReplace(), true
	case PlatformDown:
		return platformDown(), true
	default:
		return nil, false
	}
}

// recorder collects the events of a trace.
type recorder struct {
	profile profile.Profile
	random  *rand.Rand
	trace   trace.Trace
}

func record(p profile.Profile, title string, scale int, seed uint64) *recorder {
	return &recorder{
		profile: p,
		random:  rand.New(rand.NewPCG(seed, seed)),
		trace: trace.Trace{Header: trace.Header{
			Trace: trace.Version, Title: title, Profile: p.Name, Instances: instances, Scale: scale,
		}},
	}
}

func (r *recorder) at(at time.Duration, event trace.Event) {
	event.AtMS = at.Milliseconds()
	r.trace.Events = append(r.trace.Events, event)
}

// work is a stretch of requests.
type work struct {
	from, to time.Duration
	// every is the mean time between two requests.
	every time.Duration
	// sessions is the number of sessions of each caller.
	sessions int
	// writes, once, fresh and aged are the weights of the kinds of request.
	writes, once, fresh, aged int
}

// add records the requests of w: technicians write and read back their own
// records, planners assign, desks read with a stated age.
func (r *recorder) add(w work) {
	for at := w.from; at < w.to; at += r.gap(w.every) {
		r.at(at, r.request(w))
	}
}

// gap returns a time between half and one and a half of mean.
func (r *recorder) gap(mean time.Duration) time.Duration {
	return mean/2 + time.Duration(r.random.Int64N(int64(mean)))
}

func (r *recorder) request(w work) trace.Event {
	session := r.random.IntN(w.sessions)
	group := r.profile.Groups[session%len(r.profile.Groups)]
	event := trace.Event{Via: r.random.IntN(instances), Group: group.ID}
	technician, planner, desk := r.profile.Callers[0].Name, r.profile.Callers[1].Name, r.profile.Callers[2].Name
	switch kind := r.random.IntN(w.writes + w.once + w.fresh + w.aged); {
	case kind < w.writes:
		event.Do, event.Caller = trace.DoWrite, technician
	case kind < w.writes+w.once:
		event.Do, event.Caller = trace.DoOnce, planner
	case kind < w.writes+w.once+w.fresh:
		event.Do, event.Caller = trace.DoFresh, technician
	default:
		event.Do, event.Caller = trace.DoAged, desk
	}
	event.Session = fmt.Sprintf("%s-%d", event.Caller, session)
	event.Key = fmt.Sprintf("%s-%d", event.Session, r.random.IntN(2))
	if event.Do == trace.DoAged {
		event.Key = fmt.Sprintf("%s-%d-%d", technician, session, r.random.IntN(2))
	}
	return event
}

// finish orders the events and states the outcomes.
func (r *recorder) finish(expect trace.Expect) *trace.Trace {
	slices.SortStableFunc(r.trace.Events, func(a, b trace.Event) int { return int(a.AtMS - b.AtMS) })
	r.trace.Expect = expect
	return &r.trace
}

func nightPrimaryLost() *trace.Trace {
	r := record(profile.Tregwynt(), "A night at the quay with a primary lost", 1, 1)
	r.add(work{to: 25 * time.Second, every: 20 * time.Millisecond, sessions: 12, writes: 25, once: 10, fresh: 30, aged: 35})
	lost := trace.Event{Do: trace.DoKill, Group: "plugs-east", Upstream: trace.UpstreamPrimary}
	r.at(8*time.Second, lost)
	back := trace.Event{Do: trace.DoRevive, Group: "plugs-east", Upstream: "plugs-east-in-quay-east"}
	r.at(18*time.Second, back)
	return r.finish(trace.Expect{MinAnswered: 0.85, MaxGapMS: 9000, MinReplicaShare: 0.3})
}

func busyMorning() *trace.Trace {
	r := record(profile.Lankapower(), "A busy hire morning with lagging replicas", 1, 2)
	r.add(work{to: 20 * time.Second, every: 5 * time.Millisecond, sessions: 24, writes: 10, once: 8, fresh: 32, aged: 50})
	for i, group := range r.profile.Groups {
		lag := trace.Event{Do: trace.DoLag, Group: group.ID, Upstream: trace.UpstreamReplicas, LagMS: 300 * (i + 1)}
		r.at(4*time.Second, lag)
	}
	stuck := trace.Event{Do: trace.DoStick, Group: "hire-colombo", Upstream: "hire-colombo-in-gampaha"}
	r.at(8*time.Second, stuck)
	stuck.Do = trace.DoUnstick
	r.at(15*time.Second, stuck)
	return r.finish(trace.Expect{MinAnswered: 0.98, MinReplicaShare: 0.4})
}

func rollingReplace() *trace.Trace {
	r := record(profile.Tregwynt(), "A rolling replacement of all instances", 1, 3)
	r.add(work{to: 28 * time.Second, every: 25 * time.Millisecond, sessions: 12, writes: 25, once: 10, fresh: 30, aged: 35})
	for i := range instances {
		at := time.Duration(3+6*i) * time.Second
		r.at(at, trace.Event{Do: trace.DoStart, Via: i})
		r.at(at+3*time.Second, trace.Event{Do: trace.DoStop, Via: 0})
	}
	return r.finish(trace.Expect{MinAnswered: 0.97, MinReplicaShare: 0.3})
}

func platformDown() *trace.Trace {
	const scale = 120
	r := record(profile.Lankapower(), "An hour with the platform down", scale, 4)
	minute := func(n int) time.Duration { return time.Duration(n) * time.Minute }
	r.add(work{to: minute(80), every: 3 * time.Second, sessions: 12, writes: 20, once: 10, fresh: 30, aged: 40})
	r.at(minute(10), trace.Event{Do: trace.DoPlatform, Platform: &trace.Platform{Down: true}})
	r.at(minute(70), trace.Event{Do: trace.DoPlatform, Platform: &trace.Platform{}})
	return r.finish(trace.Expect{MinAnswered: 0.95, MinReplicaShare: 0.3})
}
