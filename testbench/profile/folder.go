package profile

import (
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/xdg-go/scram"

	"gypsumdock/testbench/upstreamd"
)

// The files of a folder.
const (
	GroupsFile  = "10-groups.toml"
	CallersFile = "20-callers.toml"
	RoutesFile  = "30-routes.toml"
)

const (
	folderMode      = 0o755
	fileMode        = 0o644
	scramIterations = 4096
	saltBytes       = 16
)

// Spec returns the stand-ins of the profile's groups on the IP address listen.
func (p Profile) Spec(listen string) upstreamd.Spec {
	spec := upstreamd.Spec{Listen: listen}
	for _, g := range p.Groups {
		groupSpec := upstreamd.GroupSpec{
			ID: g.ID, Database: g.Database, User: UpstreamUser, Password: UpstreamPassword,
		}
		for _, u := range g.Upstreams {
			groupSpec.Upstreams = append(groupSpec.Upstreams, upstreamd.UpstreamSpec{
				ID: u.ID, Slots: p.Slots, Connections: p.Connections,
				Costs: upstreamd.Costs{
					ConnectMS:   int(p.Connect / time.Millisecond),
					StatementUS: int(p.Statement / time.Microsecond),
				},
			})
		}
		spec.Groups = append(spec.Groups, groupSpec)
	}
	return spec
}

// WriteFolder writes the operators' folder into dir. address gives the address
// of each upstream.
func (p Profile) WriteFolder(dir string, address func(group, upstream string) string) error {
	if err := os.MkdirAll(dir, folderMode); err != nil {
		return err
	}
	callers, err := p.callers()
	if err != nil {
		return err
	}
	files := map[string]string{
		GroupsFile:  p.groups(address),
		CallersFile: callers,
		RoutesFile:  p.routes(),
	}
	for name, text := range files {
		if err = os.WriteFile(filepath.Join(dir, name), []byte(text), fileMode); err != nil {
			return err
		}
	}
	return nil
}

func (p Profile) groups(address func(group, upstream string) string) string {
	var text strings.Builder
	for _, g := range p.Groups {
		fmt.Fprintf(&text, "[[group]]\nid = %q\ndatabase = %q\nuser = %q\npassword = %q\n\n",
			g.ID, g.Database, UpstreamUser, UpstreamPassword)
		for _, u := range g.Upstreams {
			fmt.Fprintf(&text, "[[group.upstream]]\nid = %q\naddress = %q\ndata_centre = %q\nslots = %d\nconnections = %d\n\n",
				u.ID, address(g.ID, u.ID), u.DataCentre, p.Slots, p.Connections)
		}
	}
	return text.String()
}

func (p Profile) callers() (string, error) {
	var text strings.Builder
	for _, caller := range p.Callers {
		verifier, err := Verifier(caller.Name, caller.Password)
		if err != nil {
			return "", err
		}
		fmt.Fprintf(&text, "[[caller]]\nname = %q\nverifier = %q\nweight = %d\n\n", caller.Name, verifier, caller.Weight)
	}
	return text.String(), nil
}

func (p Profile) routes() string {
	var text strings.Builder
	for _, g := range p.Groups {
		p.route(&text, g.ID, p.Routes.Aged, fmt.Sprintf("read_only = true\nmax_age = %q\n", p.Routes.MaxAge))
		p.route(&text, g.ID, p.Routes.Fresh, "read_only = true\n")
		p.route(&text, g.ID, p.Routes.Once, "at_most_once = true\n")
		p.route(&text, g.ID, p.Routes.Record, "")
	}
	return text.String()
}

func (p Profile) route(text *strings.Builder, group, tag, rules string) {
	fmt.Fprintf(text, "[[route]]\nname = %q\ngroup = %q\ntag = %q\n%sdeadline = %q\n\n",
		group+"."+tag, group, tag, rules, p.Routes.Deadline)
}

// Verifier returns the SCRAM-SHA-256 verifier of a password in PostgreSQL's
// format.
func Verifier(user, password string) (string, error) {
	client, err := scram.SHA256.NewClient(user, password, "")
	if err != nil {
		return "", errors.Wrapf(err, "password of %s", user)
	}
	salt := make([]byte, saltBytes)
	if _, err = rand.Read(salt); err != nil {
		return "", err
	}
	stored, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: string(salt), Iters: scramIterations})
	if err != nil {
		return "", errors.Wrapf(err, "password of %s", user)
	}
	encode := base64.StdEncoding.EncodeToString
	return fmt.Sprintf("SCRAM-SHA-256$%d:%s$%s:%s",
		scramIterations, encode(salt), encode(stored.StoredKey), encode(stored.ServerKey)), nil
}
