package cluster

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"

	"gypsumdock/testbench/faultproxy"
	"gypsumdock/testbench/platformd"
)

// Instance is a process of gypsumdock. Process is replaced by Restart.
type Instance struct {
	*Process
	ID         string
	DataCentre string
	// Callers, Mesh and Admin are the addresses of its listeners.
	Callers string
	Mesh    string
	Admin   string
	// ToCallers, ToMesh and ToPlatform stand before its callers' listener,
	// before its mesh listener, and between it and the platform.
	ToCallers  *faultproxy.Proxy
	ToMesh     *faultproxy.Proxy
	ToPlatform *faultproxy.Proxy

	settings string
}

// StartInstance adds an instance in a data centre, with addresses of its own.
// extra are further settings of this instance, as in Tuning.
func (c *Cluster) StartInstance(ctx context.Context, dataCentre string, extra ...string) (*Instance, error) {
	c.started++
	i := &Instance{ID: fmt.Sprintf("instance-%d", c.started), DataCentre: dataCentre}
	if err := c.place(i); err != nil {
		return nil, err
	}
	i.settings = filepath.Join(c.dir, i.ID+".toml")
	text, err := c.settingsOf(i, extra)
	if err != nil {
		return nil, err
	}
	if err = os.WriteFile(i.settings, text, 0o644); err != nil {
		return nil, err
	}
	process, err := start(i.ID, filepath.Join(c.dir, i.ID+".log"), nil, c.binaries.Gypsumdock, "--settings", i.settings)
	if err != nil {
		return nil, err
	}
	i.Process = process
	c.Instances = append(c.Instances, i)
	entry := platformd.Instance{ID: i.ID, Address: i.ToMesh.Address(), DataCentre: dataCentre, State: "live"}
	return i, c.Platform.ChangeInstance(ctx, platformd.InstanceChange{Instance: entry})
}

// Unlist removes an instance from the platform's list.
func (c *Cluster) Unlist(ctx context.Context, i *Instance) error {
	return c.Platform.ChangeInstance(ctx, platformd.InstanceChange{
		Instance: platformd.Instance{ID: i.ID}, Removed: true,
	})
}

// place gives an instance its addresses and proxies.
func (c *Cluster) place(i *Instance) error {
	host, err := c.net.host()
	if err != nil {
		return err
	}
	addresses, err := ports(host, 3)
	if err != nil {
		return err
	}
	i.Callers, i.Mesh, i.Admin = addresses[0], addresses[1], addresses[2]
	if i.ToCallers, err = c.proxy(i.Callers); err != nil {
		return err
	}
	if i.ToMesh, err = c.proxy(i.Mesh); err != nil {
		return err
	}
	i.ToPlatform, err = c.proxy(c.platformAddress)
	return err
}

func (c *Cluster) proxy(target string) (*faultproxy.Proxy, error) {
	host, err := c.net.host()
	if err != nil {
		return nil, err
	}
	p, err := faultproxy.Start(host+":0", target)
	if err == nil {
		c.proxies = append(c.proxies, p)
	}
	return p, err
}

// Ready reports whether the instance says that it takes callers.
func (i *Instance) Ready(ctx context.Context) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.Admin+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Status is the part of an instance's status that tests look at.
type Status struct {
	State    string        `json:"state"`
	Revision uint64        `json:"revision"`
	Digest   string        `json:"digest"`
	Groups   []GroupStatus `json:"groups"`
}

// GroupStatus is an instance's view of a group.
type GroupStatus struct {
	ID          string `json:"id"`
	Generation  uint64 `json:"generation"`
	Primary     string `json:"primary"`
	WritePermit bool   `json:"write_permit"`
}

// Status asks the instance for its status.
func (i *Instance) Status(ctx context.Context) (Status, error) {
	var status Status
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.Admin+"/status", nil)
	if err != nil {
		return status, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return status, err
	}
	defer response.Body.Close()
	return status, json.NewDecoder(response.Body).Decode(&status)
}

// readyPoll is the pause between two questions whether an instance is ready.
const readyPoll = 20 * time.Millisecond

// WaitReady waits until the instance is ready, has ended, or ctx is done.
func (i *Instance) WaitReady(ctx context.Context) error {
	for !i.Ready(ctx) {
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "%s is not ready; log: %s", i.ID, tail(i.LogPath))
		case <-i.Done():
			return errors.Errorf("%s ended; log: %s", i.ID, tail(i.LogPath))
		case <-time.After(readyPoll):
		}
	}
	return nil
}

// tailBytes bounds what is shown of a log in an error.
const tailBytes = 4096

func tail(path string) string {
	data, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-tailBytes):])
}
