package model

// RowVersion is the platform's version of a table row; each write raises it.
// Zero means that the row does not exist.
type RowVersion int64

// Head is the row of the platform's table that a region's instances agree on.
// One read of it renews every write permit that an instance holds.
type Head struct {
	// Version is the row's version as read; it is not part of the stored value.
	Version RowVersion `json:"-"`
	// Revision and Digest name the configuration bundle in force.
	Revision Revision `json:"revision"`
	Digest   string   `json:"digest"`
	// Groups is ordered by ID.
	Groups []GroupHead `json:"groups"`
	// MembersVersion rises with each change of Members.
	MembersVersion uint64 `json:"members_version"`
	// Members lists the registered instances, ordered by ID. They are the
	// holders of permits and those who are eligible to seal a group.
	Members []Member `json:"members"`
}

// GroupHead is the agreed state of one group.
type GroupHead struct {
	ID         GroupID    `json:"id"`
	Generation Generation `json:"generation"`
	Primary    UpstreamID `json:"primary"`
	// StartLSN is the log position at which Generation starts. A mark of an
	// older generation above it did not survive the change of primary.
	StartLSN LSN `json:"start_lsn"`
	// Timeline is the PostgreSQL timeline of the primary in this generation.
	Timeline uint32 `json:"timeline"`
	// Contested is true when another upstream may have started Timeline too,
	// since more than one candidate was named for this generation.
	Contested bool `json:"contested,omitempty"`
	// Seal is nil while the primary may take writes.
	Seal *Seal `json:"seal,omitempty"`
}

// Seal forbids writes of the group's generation until Next starts.
type Seal struct {
	Next      Generation `json:"next"`
	Candidate UpstreamID `json:"candidate"`
	By        InstanceID `json:"by"`
	Planned   bool       `json:"planned"`
}

// Member is a registered instance.
type Member struct {
	ID         InstanceID `json:"id"`
	DataCentre DataCentre `json:"data_centre"`
	// Address is the mesh address, IP:port.
	Address string `json:"address"`
	Leaving bool   `json:"leaving,omitempty"`
	// Machine names the place of the process where the platform restarts it. A
	// process that registers from there proves that the one before has ended.
	Machine string `json:"machine,omitempty"`
	// Evicted is zero, or the MembersVersion at which another member withdrew
	// this one's right to write permits. The entry is removed once every permit
	// from before has run out.
	Evicted uint64 `json:"evicted,omitempty"`
}

// Group returns the state of the group named id.
func (h *Head) Group(id GroupID) (GroupHead, bool) {
	for _, group := range h.Groups {
		if group.ID == id {
			return group, true
		}
	}
	return GroupHead{}, false
}

// Member returns the registration of the instance named id.
func (h *Head) Member(id InstanceID) (Member, bool) {
	for _, member := range h.Members {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

// Clone returns a copy of h that shares no slice or seal with it.
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
