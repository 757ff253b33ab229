package marks

// Placement says where the mark of a write has to be stored, and collects the
// answers. It is owned by the goroutine that serves the write.
type Placement struct {
	// Targets are the homes to send the mark to, all at once. The first is
	// the present home.
	Targets []Target
	// Complete is false while there may be readers at homes that this
	// instance does not know of: PlaceMark sets it by the window, and the caller
	// clears it unless Home.Joined. The write may then be acknowledged only
	// once all replicas in use have applied it.
	Complete bool
	stored   []bool
	again    bool
}

// Progress is the state of a placement.
type Progress uint8

// The states of a placement. In each but PlacementStored the write may also be
// acknowledged once all replicas in use have applied it.
const (
	// PlacementPending means that answers are missing.
	PlacementPending Progress = iota
	// PlacementStored means that the write may be acknowledged.
	PlacementStored
	// PlacementRetry means that the present home knows other members than
	// this instance: read the head row and call PlaceMark again.
	PlacementRetry
	// PlacementIncomplete means that no answer can settle it.
	PlacementIncomplete
)

// RecordAnswer takes the answer of the target with the given index.
func (p *Placement) RecordAnswer(index int, status StoreStatus) {
	if p.stored == nil {
		p.stored = make([]bool, len(p.Targets))
	}
	present := index == 0
	switch status {
	case StoreDone:
		p.stored[index] = true
	case StoreRetired:
		p.stored[index] = !present
		p.again = p.again || present
	case StoreRefused:
		p.again = p.again || present
	case StoreLost:
		p.Complete = false
	}
}

// Progress returns the state of the placement.
func (p *Placement) Progress() Progress {
	switch {
	case !p.Complete:
		return PlacementIncomplete
	case p.again:
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
