package slopes

import (
	"context"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"gypsumdock/testbench/cluster"
	"gypsumdock/testbench/platformd"
)

// Measured holds the rates of a point. Those of an instance are the mean over
// all instances.
type Measured struct {
	Point
	// CoreShare is the processor time of an instance as a share of a core, and
	// CoreShareMost that of the busiest instance.
	CoreShare     float64 `json:"core_share"`
	CoreShareMost float64 `json:"core_share_most"`
	// ResidentMB and HeapMB are the memory of an instance, in 10^6 bytes.
	ResidentMB float64 `json:"resident_mb"`
	HeapMB     float64 `json:"heap_mb"`
	// MeshInKB and MeshOutKB are an instance's mesh traffic in 10^3 bytes a
	// second.
	MeshInKB  float64 `json:"mesh_in_kb_per_s"`
	MeshOutKB float64 `json:"mesh_out_kb_per_s"`
	// PlatformReads and PlatformWrites are the platform's own counts for all
	// instances, a second, by the first part of the key.
	PlatformReads  map[string]float64 `json:"platform_reads_per_s"`
	PlatformWrites map[string]float64 `json:"platform_writes_per_s"`
	// Calls are the calls of an instance a second, by its own metrics.
	Calls map[string]float64 `json:"instance_calls_per_s"`
	// Answered is the number of requests answered a second, for all instances.
	Answered float64  `json:"answered_per_s"`
	Changes  *Changes `json:"changes,omitempty"`
}

// reading is what all counters said at one moment.
type reading struct {
	at        time.Time
	processor []time.Duration
	resident  []int
	series    []Series
	platform  platformd.Counts
}

func read(ctx context.Context, c *cluster.Cluster) (*reading, error) {
	r := &reading{at: time.Now()}
	for _, i := range c.Instances {
		if err := r.instance(ctx, i); err != nil {
			return nil, errors.Wrap(err, i.ID)
		}
	}
	var err error
	r.platform, err = c.Platform.Counts(ctx)
	return r, err
}

func (r *reading) instance(ctx context.Context, i *cluster.Instance) error {
	processor, err := processorTime(i.PID())
	if err != nil {
		return err
	}
	resident, err := residentBytes(i.PID())
	if err != nil {
		return err
	}
	series, err := scrape(ctx, i)
	if err != nil {
		return err
	}
	r.processor = append(r.processor, processor)
	r.resident = append(r.resident, resident)
	r.series = append(r.series, series)
	return nil
}

// mega and kilo are the units of memory and of traffic, in bytes.
const (
	mega = 1e6
	kilo = 1e3
)

const platformCalls = "gypsumdock_platform_calls_total"

// between returns the rates from one reading to another.
func between(p Point, before, after *reading) Measured {
	m := Measured{Point: p, Calls: map[string]float64{}}
	seconds := after.at.Sub(before.at).Seconds()
	count := float64(len(after.series))
	for n := range after.series {
		share := (after.processor[n] - before.processor[n]).Seconds() / seconds
		m.CoreShare += share / count
		m.CoreShareMost = max(m.CoreShareMost, share)
		m.ResidentMB += float64(after.resident[n]) / mega / count
		m.HeapMB += after.series[n]["go_memstats_heap_alloc_bytes"] / mega / count
		for name, value := range after.series[n] {
			m.add(name, (value-before.series[n][name])/seconds/count)
		}
	}
	m.Answered *= count
	m.PlatformReads = rates(before.platform.Reads, after.platform.Reads, seconds)
	m.PlatformWrites = rates(before.platform.Writes, after.platform.Writes, seconds)
	return m
}

// add adds the rate of a series to what it belongs to.
func (m *Measured) add(name string, rate float64) {
	switch {
	case name == `gypsumdock_mesh_bytes_total{direction="in"}`:
		m.MeshInKB += rate / kilo
	case name == `gypsumdock_mesh_bytes_total{direction="out"}`:
		m.MeshOutKB += rate / kilo
	case strings.HasPrefix(name, platformCalls) && rate > 0:
		m.Calls[strings.TrimPrefix(name, platformCalls)] += rate
	case strings.HasPrefix(name, "gypsumdock_answers_total") && strings.Contains(name, `"ran"`):
		m.Answered += rate
	}
}

func rates(before, after map[string]int, seconds float64) map[string]float64 {
	made := make(map[string]float64, len(after))
	for key, count := range after {
		made[key] = float64(count-before[key]) / seconds
	}
	return made
}

func sum(values map[string]float64) float64 {
	total := 0.0
	for _, value := range values {
		total += value
	}
	return total
}
