package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"

	"gypsumdock/testbench/caller"
	"gypsumdock/testbench/cluster"
	"gypsumdock/testbench/history"
	"gypsumdock/testbench/profile"
	"gypsumdock/testbench/replay"
	"gypsumdock/testbench/upstreamd"
)

const (
	instances = 4
	// replicaLag is the replication lag of the replicas.
	replicaLag = 200 * time.Millisecond
	// records is the number of records that the technician writes before and
	// after the loss of the primary, and reads the desk's reads of each.
	records = 8
	reads   = 3
	// pause is the time between two requests.
	pause = 30 * time.Millisecond
)

// story is the run of the demo.
type story struct {
	cluster *cluster.Cluster
	group   upstreamd.GroupLayout
	log     history.Log
	next    int
}

func begin(ctx context.Context) (*story, error) {
	fmt.Println("Building the programs, starting the stand-ins and four instances.")
	deployment := profile.Tregwynt()
	c, err := cluster.Start(ctx, cluster.Options{
		Profile: deployment, Instances: instances, Tuning: cluster.DefaultTuning(),
	})
	if err != nil {
		return nil, err
	}
	s := &story{cluster: c, group: c.Layout.Groups[0]}
	fmt.Printf("Applying the folder %s with gypsumctl:\n", c.Folder)
	output, code, err := c.ApplyFolder(ctx, c.Folder)
	fmt.Print(output)
	if err == nil && code != 0 {
		err = errors.Errorf("gypsumctl apply exited with %d", code)
	}
	if err == nil {
		err = c.WaitReady(ctx)
	}
	if err != nil {
		return nil, errors.Join(err, c.Stop())
	}
	return s, nil
}

func (s *story) play(ctx context.Context) error {
	for _, upstream := range s.group.Upstreams[1:] {
		fault := upstreamd.Fault{
			Group: s.group.ID, Upstream: upstream.ID, Action: upstreamd.ActionLag,
			LagMS: int(replicaLag / time.Millisecond),
		}
		if err := s.cluster.Upstreams.Apply(ctx, fault); err != nil {
			return err
		}
	}
	callers := s.cluster.Profile().Callers
	technician := caller.New("technician", callers[0], s.cluster.Profile().Routes, &s.log)
	defer technician.Close()
	desk := caller.New("desk", callers[2], s.cluster.Profile().Routes, &s.log)
	defer desk.Close()
	fmt.Printf("\nThe technician records plugs and the desk looks; replicas lag by %s.\n", replicaLag)
	s.work(ctx, technician, desk)
	gap, err := s.losePrimary(ctx, technician)
	if err != nil {
		return err
	}
	s.work(ctx, technician, desk)
	return s.show(ctx, gap)
}

// target picks the next instance in turn.
func (s *story) target(int) (caller.Target, bool) {
	s.next++
	instance := s.cluster.Instances[s.next%instances]
	return caller.Target{
		Address: instance.ToCallers.Address(), Group: s.group.ID, Database: s.group.Database,
	}, true
}

func (s *story) do(ctx context.Context, session *caller.Session, kind history.Kind, key string) caller.Request {
	request := session.Do(ctx, kind, key, caller.DefaultPolicy(), s.target)
	time.Sleep(pause)
	return request
}

func (s *story) work(ctx context.Context, technician, desk *caller.Session) {
	for n := range records {
		key := fmt.Sprintf("plug-%d", n)
		s.do(ctx, technician, history.KindWrite, key)
		s.do(ctx, technician, history.KindFresh, key)
		s.do(ctx, technician, history.KindOnce, key)
		s.do(ctx, technician, history.KindAged, key)
		for range reads {
			s.do(ctx, desk, history.KindAged, key)
		}
	}
}

// losePrimary kills the primary and returns the time to the next acknowledged
// write.
func (s *story) losePrimary(ctx context.Context, technician *caller.Session) (time.Duration, error) {
	primary, err := s.cluster.Primary(ctx, s.group.ID)
	if err != nil {
		return 0, err
	}
	fault := upstreamd.Fault{Group: s.group.ID, Upstream: primary, Action: upstreamd.ActionKill}
	if err = s.cluster.Upstreams.Apply(ctx, fault); err != nil {
		return 0, err
	}
	killed := time.Now()
	fmt.Printf("The primary %s is killed; nobody orders a promotion.\n", primary)
	request := s.do(ctx, technician, history.KindWrite, "plug-0")
	if request.Outcome != history.OutcomeOK {
		return 0, errors.Errorf("no write landed after the loss of the primary: %s", request.Last.Error)
	}
	return request.End.Sub(killed), nil
}

// show prints what went where and what was proved.
func (s *story) show(ctx context.Context, gap time.Duration) error {
	entries, err := s.cluster.Upstreams.Log(ctx, 0)
	if err != nil {
		return err
	}
	ops := s.log.Ops()
	s.showInstances(ops)
	s.showUpstreams(entries)
	total, replica := replay.CountReads(s.cluster.Layout, entries)
	fmt.Printf("\nReads on replicas: %d of %d. Writes landed again %s after the primary was killed.\n",
		replica, total, gap.Round(time.Millisecond))
	violations := history.Check(ops, entries)
	for _, violation := range violations {
		fmt.Printf("VIOLATED %s: %s\n", violation.Promise, violation.Detail)
	}
	if len(violations) > 0 {
		return errors.Errorf("%d violations", len(violations))
	}
	fmt.Printf("\nChecked %d requests against the log of the upstreams:\n", len(ops))
	for _, promise := range []string{
		history.PromiseReadYourWrites, history.PromiseOwnAnswer, history.PromiseNotRun, history.PromiseOnce,
		history.PromiseDeposed, history.PromiseAcknowledged, history.PromiseSeparate,
	} {
		fmt.Printf("  held: %s\n", promise)
	}
	return nil
}

func (s *story) showInstances(ops []history.Op) {
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "\ninstance\tdata centre\trequests\tanswered")
	for _, instance := range s.cluster.Instances {
		requests, answered := 0, 0
		for _, op := range ops {
			if op.Via != instance.ToCallers.Address() {
				continue
			}
			requests++
			if op.Outcome == history.OutcomeOK {
				answered++
			}
		}
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\n", instance.ID, instance.DataCentre, requests, answered)
	}
	_ = table.Flush()
}

func (s *story) showUpstreams(entries []upstreamd.Entry) {
	type count struct{ reads, commits int }
	counts := make(map[string]count)
	var names []string
	for _, upstream := range s.group.Upstreams {
		names = append(names, upstream.ID)
	}
	promoted := ""
	for _, entry := range entries {
		if !slices.Contains(names, entry.Upstream) {
			continue
		}
		c := counts[entry.Upstream]
		switch entry.Kind {
		case upstreamd.EntryRead:
			c.reads++
		case upstreamd.EntryCommit:
			c.commits++
		case upstreamd.EntryPromote:
			promoted = entry.Upstream
		}
		counts[entry.Upstream] = c
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "\nupstream\treads\tcommits\t")
	for i, name := range names {
		note := ""
		if i == 0 {
			note = "primary until it was killed"
		}
		if name == promoted {
			note = "promoted"
		}
		fmt.Fprintf(table, "%s\t%d\t%d\t%s\n", name, counts[name].reads, counts[name].commits, note)
	}
	_ = table.Flush()
}
