package marks

// Placement lists the homes at which the mark of a write has to be stored, and
// collects their answers. It is owned by the goroutine that serves the write.
type Placement struct {
	// Targets are the homes to send the mark to in parallel. The first is the
	// current home.
	Targets []Target
	// Complete is false while sessions may still be read at homes that this
	// instance does not know. PlaceMark sets it to true once the window has
	// passed; the user of the placement clears it unless Home.Joined. While it
	// is false, the write may be acknowledged only once all replicas in use have
	// applied it.
	Complete bool
	stored   []bool
	retry    bool
}

// Progress is the state of a placement.
type Progress uint8

// The states of a placement. In all states but PlacementStored, the write may
// still be acknowledged once all replicas in use have applied it.
const (
	// PlacementPending means that answers are outstanding.
	PlacementPending Progress = iota
	// PlacementStored means that the write may be acknowledged.
	PlacementStored
	// PlacementRetry means that the current home knows another version of the
	// members than this instance: read the head row and call PlaceMark again.
	PlacementRetry
	// PlacementIncomplete means that Complete is false, or that a home answered
	// StoreLost. Further answers do not change the state.
	PlacementIncomplete
)

// RecordAnswer records the answer of the target with the given index.
func (p *Placement) RecordAnswer(index int, status StoreStatus) {
	if p.stored == nil {
		p.stored = make([]bool, len(p.Targets))
	}
	current := index == 0
	switch status {
	case StoreDone:
		p.stored[index] = true
	case StoreSuperseded:
		p.stored[index] = !current
		p.retry = p.retry || current
	case StoreRefused:
		p.retry = p.retry || current
	case StoreLost:
		p.Complete = false
	}
}

// Progress returns the current state.
func (p *Placement) Progress() Progress {
	switch {
	case !p.Complete:
		return PlacementIncomplete
	case p.retry:
		return PlacementRetry
	case p.stored == nil:
		return PlacementPending
	}
	for _, stored := range p.stored {
		if !stored {
			return PlacementPending
		}
	}
	return PlacementStored
}
