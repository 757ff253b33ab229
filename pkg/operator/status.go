package operator

import (
	"fmt"
	"io"
	"strings"

	"github.com/go-faster/errors"

	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/transport/admin"
)

// statusResult is the status of all instances that were queried.
type statusResult struct {
	Instances []admin.Status `json:"instances"`
	// Silent are the instances that did not answer.
	Silent []SilentInstance `json:"silent,omitempty"`
}

// SilentInstance is an instance that did not answer.
type SilentInstance struct {
	Address string `json:"address"`
	Problem string `json:"problem"`
}

// statusResultOf separates the answers from the failures.
func statusResultOf(answers []answer) statusResult {
	var result statusResult
	for _, a := range answers {
		if a.err != nil {
			result.Silent = append(result.Silent, SilentInstance{Address: a.address, Problem: a.err.Error()})
			continue
		}
		result.Instances = append(result.Instances, a.status)
	}
	return result
}

// failure returns an error that names the instances that did not answer, if any.
func (r statusResult) failure() error {
	if len(r.Silent) == 0 {
		return nil
	}
	addresses := make([]string, len(r.Silent))
	for i, silent := range r.Silent {
		addresses[i] = silent.Address
	}
	return errors.Errorf("no answer from %s", strings.Join(addresses, ", "))
}

func (r statusResult) writeText(w io.Writer) {
	fmt.Fprintln(w, "INSTANCE\tDATA CENTRE\tSTATE\tREVISION\tPLATFORM\tCALLERS\tIN FLIGHT\tMARKS")
	for _, s := range r.Instances {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%d\t%d\t%d\n", s.Instance, s.DataCentre, s.State, s.Revision,
			word(s.PlatformReachable, "reachable", "down"), s.CallerConnections, s.InFlight, s.SessionMarks)
	}
	for _, silent := range r.Silent {
		fmt.Fprintf(w, "%s\t-\t%s\n", silent.Address, silent.Problem)
	}
	writeCallers(w, r.Instances)
	for _, s := range r.Instances {
		writePeers(w, s)
	}
	for _, s := range r.Instances {
		for _, group := range s.Groups {
			writeGroup(w, s.Instance, group)
		}
	}
}

// writePeers writes the table of an instance's peers.
func writePeers(w io.Writer, status admin.Status) {
	if len(status.Peers) == 0 {
		return
	}
	fmt.Fprintf(w, "\nPEER OF %s\tDATA CENTRE\tADDRESS\tREVISION\tLIVE\n", status.Instance)
	for _, peer := range status.Peers {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\n", peer.ID, peer.DataCentre, peer.Address, peer.Revision, word(peer.Live, "yes", "no"))
	}
}

// writeGroup writes a group and the table of its upstreams, as seen by instance.
func writeGroup(w io.Writer, instance model.InstanceID, group admin.GroupStatus) {
	fmt.Fprintf(w, "\ngroup %s on %s: generation %d, primary %s, writes %s%s\n", group.ID, instance, group.Generation,
		group.Primary, word(group.WritePermit, "permitted", "not permitted"), word(group.Sealed, ", sealed", ""))
	fmt.Fprintln(w, "UPSTREAM\tDATA CENTRE\tROLE\tREACHABLE\tLSN\tLAG\tOPEN/GRANT\tLEAVING")
	for _, u := range group.Upstreams {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%d/%d\t%s\n", u.ID, u.DataCentre, u.Role, word(u.Reachable, "yes", "no"),
			u.LSN, lag(u.LagSeconds), u.Open, u.Grant, word(u.Leaving, "yes", "no"))
	}
}

// lag formats the upper bound of a replica's lag.
func lag(seconds *float64) string {
	if seconds == nil {
		return "unknown"
	}
	return fmt.Sprintf("%.3fs", *seconds)
}

// word returns yes or no, by the condition.
func word(condition bool, yes, no string) string {
	if condition {
		return yes
	}
	return no
}

// GroupView is a group as one instance sees it.
type GroupView struct {
	Instance model.InstanceID  `json:"instance"`
	Group    admin.GroupStatus `json:"group"`
}

// groupResult is the output of gypsumctl group show.
type groupResult struct {
	Group model.GroupID `json:"group"`
	Views []GroupView   `json:"views"`
}

func (r groupResult) writeText(w io.Writer) {
	for _, view := range r.Views {
		writeGroup(w, view.Instance, view.Group)
	}
}

// switchResult is the output of gypsumctl group switch.
type switchResult struct {
	Group      model.GroupID    `json:"group"`
	Primary    model.UpstreamID `json:"primary"`
	Generation model.Generation `json:"generation"`
}

func (r switchResult) writeText(w io.Writer) {
	fmt.Fprintf(w, "group %s: primary %s, generation %d\n", r.Group, r.Primary, r.Generation)
}
