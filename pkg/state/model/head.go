package model

// RowVersion is the version of a row in the platform's table. The platform
// increases it with each write. Zero means that the row does not exist.
type RowVersion int64

// Head is the head row: the row of the platform's table that holds the state on
// which all instances of a region agree. Instances change it with conditional
// writes on its version. One read of it renews all write permits of an instance.
// It is stored as JSON.
type Head struct {
	// Version is the version of the row that was read. It is not part of the
	// stored value.
	Version RowVersion `json:"-"`
	// Revision and Digest identify the configuration bundle that instances have
	// to adopt.
	Revision Revision `json:"revision"`
	Digest   string   `json:"digest"`
	// Groups is ordered by ID.
	Groups []GroupHead `json:"groups"`
	// MembersVersion increases with each change of Members.
	MembersVersion uint64 `json:"members_version"`
	// Members lists the registered instances, ordered by ID. Only members can
	// hold write permits and seal a group.
	Members []Member `json:"members"`
}

// GroupHead is the part of the head row that describes one group.
type GroupHead struct {
	ID         GroupID    `json:"id"`
	Generation Generation `json:"generation"`
	Primary    UpstreamID `json:"primary"`
	// StartLSN is the log position at which Generation starts. A write of the
	// previous generation whose mark is above it did not survive the change of
	// primary.
	StartLSN LSN `json:"start_lsn"`
	// Timeline is the primary's PostgreSQL timeline in this generation.
	Timeline uint32 `json:"timeline"`
	// Contested is true if another upstream may have started Timeline too,
	// because more than one candidate was named for this generation.
	Contested bool `json:"contested,omitempty"`
	// Promoter is the member that started Generation. It may have ordered a
	// promotion until then. Empty for the first generation.
	Promoter InstanceID `json:"promoter,omitempty"`
	// Seal is nil while the primary may accept writes.
	Seal *Seal `json:"seal,omitempty"`
}

// Seal forbids writes in the group's current generation until generation Next
// starts. It is set to change the primary.
type Seal struct {
	Next Generation `json:"next"`
	// Candidate is the upstream that is to be the primary of Next.
	Candidate UpstreamID `json:"candidate"`
	// By is the instance that carries out the change.
	By InstanceID `json:"by"`
	// TakenOver is true if another instance carried out the change before By.
	// It may have ordered promotions that nothing else here tells of.
	TakenOver bool `json:"taken_over,omitempty"`
	// Planned is true for a planned switch and false for a failover.
	Planned bool `json:"planned"`
}

// Member is a registered instance.
type Member struct {
	ID         InstanceID `json:"id"`
	DataCentre DataCentre `json:"data_centre"`
	// Address is the mesh address, IP:port.
	Address string `json:"address"`
	// Leaving is true once the instance has started a graceful stop.
	Leaving bool `json:"leaving,omitempty"`
	// Machine identifies the place where the platform runs and restarts the
	// process. At most one process runs there, so a new registration with the
	// same value proves that the previous process has ended.
	Machine string `json:"machine,omitempty"`
	// Evicted is zero, or the MembersVersion at which another member withdrew
	// this one's right to hold write permits. The entry is removed once all
	// permits from before that have expired.
	Evicted uint64 `json:"evicted,omitempty"`
}

// Group returns the state of the group id, or false if there is none.
func (h *Head) Group(id GroupID) (GroupHead, bool) {
	for _, group := range h.Groups {
		if group.ID == id {
			return group, true
		}
	}
	return GroupHead{}, false
}

// Member returns the registration of the instance id, or false if there is none.
func (h *Head) Member(id InstanceID) (Member, bool) {
	for _, member := range h.Members {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

// Clone returns a deep copy of h.
func (h *Head) Clone() *Head {
	copied := *h
	copied.Groups = make([]GroupHead, len(h.Groups))
	for i, group := range h.Groups {
		if group.Seal != nil {
			seal := *group.Seal
			group.Seal = &seal
		}
		copied.Groups[i] = group
	}
	copied.Members = append([]Member(nil), h.Members...)
	return &copied
}
