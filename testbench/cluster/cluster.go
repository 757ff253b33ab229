package cluster

import (
	"context"
	"encoding/json"
	"net/url"
	"os"
	"path/filepath"
	"slices"

	"github.com/go-faster/errors"

	"gypsumdock/testbench/faultproxy"
	"gypsumdock/testbench/platformd"
	"gypsumdock/testbench/profile"
	"gypsumdock/testbench/upstreamd"
)

// Options say what a cluster runs.
type Options struct {
	Profile profile.Profile
	// Instances is the number of instances; they are spread over the data
	// centres in turn.
	Instances int
	Tuning    Tuning
	// Binaries are built by BuildOnce when empty.
	Binaries Binaries
}

// Cluster is a set of running processes. Its methods are not safe for
// concurrent use. Stop ends it.
type Cluster struct {
	Upstreams upstreamd.Client
	Platform  platformd.Client
	// Layout has the addresses of the upstreams themselves; instances reach
	// them through the proxies of ToUpstream.
	Layout    upstreamd.Layout
	Instances []*Instance
	// Folder is the operators' folder.
	Folder string

	options         Options
	binaries        Binaries
	dir             string
	net             *subnet
	platformAddress string
	standIns        []*Process
	proxies         []*faultproxy.Proxy
	toUpstream      map[string]*faultproxy.Proxy
	started         int
}

// Start runs the stand-ins and the instances and writes the operators' folder.
// It does not apply the folder.
func Start(ctx context.Context, options Options) (*Cluster, error) {
	c := &Cluster{options: options, binaries: options.Binaries, toUpstream: make(map[string]*faultproxy.Proxy)}
	if err := c.start(ctx); err != nil {
		return nil, errors.Join(err, c.Stop())
	}
	return c, nil
}

func (c *Cluster) start(ctx context.Context) error {
	var err error
	if c.binaries == (Binaries{}) {
		if c.binaries, err = BuildOnce(); err != nil {
			return err
		}
	}
	if c.dir, err = os.MkdirTemp("", "gypsumdock-run-"); err != nil {
		return err
	}
	if c.net, err = reserve(); err != nil {
		return err
	}
	if err = c.startPlatform(); err != nil {
		return err
	}
	if err = c.startUpstreams(ctx); err != nil {
		return err
	}
	c.Folder = filepath.Join(c.dir, "folder")
	if err = c.options.Profile.WriteFolder(c.Folder, c.upstreamAddress); err != nil {
		return err
	}
	for n := range c.options.Instances {
		dataCentres := c.options.Profile.DataCentres
		if _, err = c.StartInstance(ctx, dataCentres[n%len(dataCentres)]); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) startPlatform() error {
	host, err := c.net.host()
	if err != nil {
		return err
	}
	var started struct {
		URL string `json:"url"`
	}
	process, err := start("platformd", filepath.Join(c.dir, "platformd.log"), &started,
		c.binaries.Platformd, "--listen", host+":0")
	if err != nil {
		return err
	}
	c.standIns = append(c.standIns, process)
	c.Platform = platformd.Client{URL: started.URL}
	parsed, err := url.Parse(started.URL)
	if err != nil {
		return err
	}
	c.platformAddress = parsed.Host
	return nil
}

func (c *Cluster) startUpstreams(ctx context.Context) error {
	host, err := c.net.host()
	if err != nil {
		return err
	}
	spec, err := json.Marshal(c.options.Profile.Spec(host))
	if err != nil {
		return err
	}
	path := filepath.Join(c.dir, "upstreamd.json")
	if err = os.WriteFile(path, spec, 0o644); err != nil {
		return err
	}
	process, err := start("upstreamd", filepath.Join(c.dir, "upstreamd.log"), &c.Layout,
		c.binaries.Upstreamd, "--spec", path)
	if err != nil {
		return err
	}
	c.standIns = append(c.standIns, process)
	c.Upstreams = upstreamd.Client{URL: c.Layout.Control}
	for _, g := range c.Layout.Groups {
		for _, u := range g.Upstreams {
			if err = c.placeUpstream(ctx, g.ID, u); err != nil {
				return err
			}
		}
	}
	return nil
}

// placeUpstream puts a proxy before an upstream, and has its replicas name the
// proxy as the address that they stream from.
func (c *Cluster) placeUpstream(ctx context.Context, group string, u upstreamd.UpstreamLayout) error {
	p, err := c.proxy(u.Address)
	if err != nil {
		return err
	}
	c.toUpstream[u.ID] = p
	return c.Upstreams.Apply(ctx, upstreamd.Fault{
		Group: group, Upstream: u.ID, Action: upstreamd.ActionAdvertise, Address: p.Address(),
	})
}

func (c *Cluster) upstreamAddress(_, upstream string) string { return c.toUpstream[upstream].Address() }

// ToUpstream returns the proxy between all instances and an upstream.
func (c *Cluster) ToUpstream(upstream string) *faultproxy.Proxy { return c.toUpstream[upstream] }

// Profile returns the deployment that runs.
func (c *Cluster) Profile() profile.Profile { return c.options.Profile }

// Dir returns the directory with the logs of the processes.
func (c *Cluster) Dir() string { return c.dir }

// PlatformAddress returns the platform's address, past all proxies.
func (c *Cluster) PlatformAddress() string { return c.platformAddress }

// WaitReady waits until every running instance takes callers.
func (c *Cluster) WaitReady(ctx context.Context) error {
	for _, i := range c.Instances {
		if i.Exited() {
			continue
		}
		if err := i.WaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Primary returns the upstream that runs as the newest primary of a group.
func (c *Cluster) Primary(ctx context.Context, group string) (string, error) {
	all, err := c.Upstreams.Status(ctx)
	if err != nil {
		return "", err
	}
	primaries := slices.DeleteFunc(all, func(s upstreamd.Status) bool { return s.Group != group || !s.Primary || s.Down })
	if len(primaries) == 0 {
		return "", errors.Errorf("group %s has no primary", group)
	}
	newest := slices.MaxFunc(primaries, func(a, b upstreamd.Status) int { return int(a.Timeline) - int(b.Timeline) })
	return newest.Upstream, nil
}

// Stop ends all processes and proxies, and removes the directory.
func (c *Cluster) Stop() error {
	var errs []error
	for _, i := range c.Instances {
		errs = append(errs, i.Kill())
	}
	for _, process := range c.standIns {
		errs = append(errs, process.Kill())
	}
	for _, p := range c.proxies {
		errs = append(errs, p.Close())
	}
	if c.net != nil {
		errs = append(errs, c.net.release())
	}
	if c.dir != "" {
		errs = append(errs, os.RemoveAll(c.dir))
	}
	return errors.Join(errs...)
}
