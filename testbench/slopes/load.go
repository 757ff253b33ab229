package slopes

import (
	"context"
	"fmt"
	"sync"
	"time"

	"gypsumdock/testbench/caller"
	"gypsumdock/testbench/cluster"
	"gypsumdock/testbench/history"
)

// writeEvery is the number of requests of which one is a write.
const writeEvery = 10

// offer sends rate requests a second to each instance, one at a time on a
// connection for each, until the returned function is called.
func offer(ctx context.Context, c *cluster.Cluster, rate int) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var sessions sync.WaitGroup
	if rate > 0 {
		for n, i := range c.Instances {
			group := c.Layout.Groups[n%len(c.Layout.Groups)]
			target := caller.Target{Address: i.Callers, Group: group.ID, Database: group.Database}
			sessions.Go(func() { ask(ctx, c, i.ID, target, time.Second/time.Duration(rate)) })
		}
	}
	return func() {
		cancel()
		sessions.Wait()
	}
}

// ask sends a request each interval until ctx ends.
func ask(ctx context.Context, c *cluster.Cluster, name string, to caller.Target, interval time.Duration) {
	var log history.Log
	session := caller.New(name, c.Profile().Callers[0], c.Profile().Routes, &log)
	defer session.Close()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		key := fmt.Sprintf("%s-%d", name, n%writeEvery)
		if n%writeEvery == 0 {
			session.Write(ctx, to, key)
		} else {
			session.Aged(ctx, to, key)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
