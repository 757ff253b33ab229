package grants

import "gypsumdock/pkg/state/model"

// PeerLoad is what a peer has published of its connections to an upstream.
type PeerLoad struct {
	Instance   model.InstanceID
	DataCentre model.DataCentre
	// Free counts connections, open or not, that serve no unit of work.
	Free int
	// Waiting counts units that wait for a connection there.
	Waiting int
}

// ChoosePeer chooses the peer to which a unit goes when this instance's own grant
// is used up: the one with more room of two taken at random, those in the own
// data centre first. A unit that was forwarded once is never forwarded again.
// False means that the unit waits here.
func ChoosePeer(rooms []PeerLoad, dataCentre model.DataCentre, forwarded bool, random uint64) (model.InstanceID, bool) {
	if forwarded {
		return "", false
	}
	var near, all []PeerLoad
	for _, room := range rooms {
		if room.Free <= room.Waiting {
			continue
		}
		all = append(all, room)
		if room.DataCentre == dataCentre {
			near = append(near, room)
		}
	}
	if len(near) > 0 {
		all = near
	}
	if len(all) == 0 {
		return "", false
	}
	count := uint64(len(all))
	first, second := all[random%count], all[random/count%count]
	if second.Free-second.Waiting > first.Free-first.Waiting {
		first = second
	}
	return first.Instance, true
}
