package path_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jackc/pgx/v5"
	. "github.com/onsi/gomega"

	"gypsumdock/testbench/cluster"
	"gypsumdock/testbench/profile"
)

// The load of the benchmark.
const (
	benchCallers  = 64
	benchEach     = 500
	benchPause    = 10 * time.Millisecond
	benchSlots    = 64
	benchLimit    = 300
	benchSettle   = 8 * time.Second
	benchMaxValue = int64(time.Minute)
)

// BenchmarkInstance compares statements direct to an upstream with statements
// through each instance, with its real engine, marks and samples. All callers
// are one session, so that one of the instances is its home.
func BenchmarkInstance(b *testing.B) {
	RegisterTestingT(b)
	ctx := context.Background()
	c := startForBench(ctx, b)
	group := c.Layout.Groups[0]
	caller := c.Profile().Callers[0]
	direct := fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable", group.User, group.Password,
		c.ToUpstream(group.Upstreams[0].ID).Address(), group.Database)
	through := func(i *cluster.Instance) string {
		return fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable", caller.Name, caller.Password, i.Callers, group.Database)
	}
	routes := c.Profile().Routes
	statements := []struct{ name, text string }{
		{"write", "UPDATE records SET value = 'x' WHERE key = 'box' /*route='" + routes.Record + "'*/"},
		{"aged", "SELECT value FROM records WHERE key = 'box' /*route='" + routes.Aged + "'*/"},
		{"fresh", "SELECT value FROM records WHERE key = 'box' /*route='" + routes.Fresh + "'*/"},
	}
	for _, statement := range statements {
		for _, instance := range c.Instances {
			b.Run(statement.name+"/"+instance.ID, func(b *testing.B) {
				alone := pace(ctx, b, direct, statement.text)
				compare(b, alone, pace(ctx, b, through(instance), statement.text))
			})
		}
	}
}

// compare reports the latencies direct, and what the path adds to them.
func compare(b *testing.B, alone, path *hdrhistogram.Histogram) {
	for _, quantile := range []float64{50, 99} {
		added := path.ValueAtQuantile(quantile) - alone.ValueAtQuantile(quantile)
		b.ReportMetric(float64(alone.ValueAtQuantile(quantile))/1e3, fmt.Sprintf("p%.0f-direct-us", quantile))
		b.ReportMetric(float64(added)/1e3, fmt.Sprintf("p%.0f-added-us", quantile))
	}
	b.ReportMetric(0, "ns/op")
}

// startForBench starts four instances before upstreams whose work costs
// nothing.
func startForBench(ctx context.Context, b *testing.B) *cluster.Cluster {
	b.Helper()
	free := profile.Tregwynt()
	free.Statement, free.Connect = 0, 0
	free.Slots, free.Connections = benchSlots, benchLimit
	c, err := cluster.Start(ctx, cluster.Options{Profile: free, Instances: 4, Tuning: cluster.DefaultTuning()})
	Expect(err).NotTo(HaveOccurred())
	b.Cleanup(func() { _ = c.Stop() })
	_, code, err := c.Ctl(ctx, "--platform", c.PlatformAddress(), "--region", free.Region, "apply", c.Folder)
	Expect(err).NotTo(HaveOccurred())
	Expect(code).To(BeZero())
	Expect(c.WaitReady(ctx)).To(Succeed())
	time.Sleep(benchSettle)
	return c
}

// pace runs the statement from all callers with a pause in between, and
// returns the latencies in nanoseconds.
func pace(ctx context.Context, b *testing.B, dsn, statement string) *hdrhistogram.Histogram {
	b.Helper()
	all := hdrhistogram.New(1, benchMaxValue, 3)
	var mu sync.Mutex
	var callers sync.WaitGroup
	for n := range benchCallers {
		callers.Go(func() {
			for _, latency := range run(ctx, b, dsn, statement, n) {
				mu.Lock()
				_ = all.RecordValue(int64(latency))
				mu.Unlock()
			}
		})
	}
	callers.Wait()
	return all
}

// run is one caller. Its first statements warm up connections and are left out.
func run(ctx context.Context, b *testing.B, dsn, statement string, n int) []time.Duration {
	conn, err := pgx.Connect(ctx, dsn)
	if err != nil {
		b.Error(err)
		return nil
	}
	defer conn.Close(ctx)
	time.Sleep(benchPause * time.Duration(n) / benchCallers)
	var latencies []time.Duration
	for i := range benchEach {
		started := time.Now()
		if _, err := conn.Exec(ctx, statement); err != nil {
			b.Error(err)
			return latencies
		}
		if i >= benchEach/5 {
			latencies = append(latencies, time.Since(started))
		}
		time.Sleep(benchPause)
	}
	return latencies
}
