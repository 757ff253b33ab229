package grants

import "gypsumdock/pkg/state/model"

// PeerLoad is the state of a peer's connections to an upstream, as the peer
// published it.
type PeerLoad struct {
	Instance   model.InstanceID
	DataCentre model.DataCentre
	// Free is the part of the peer's grant, open or not, that serves no unit of
	// work.
	Free int
	// Waiting counts units of work that wait for a connection at the peer.
	Waiting int
}

// ChoosePeer chooses the peer to which a unit of work is forwarded when this
// instance's own grant is used up. Of two random peers it takes the one with
// more free connections less waiting units. It considers only peers in
// dataCentre if any of them has a connection free. A unit that was already
// forwarded is not forwarded again. The result is false if the unit must wait
// at this instance.
func ChoosePeer(peers []PeerLoad, dataCentre model.DataCentre, forwarded bool, random uint64) (model.InstanceID, bool) {
	if forwarded {
		return "", false
	}
	var local, all []PeerLoad
	for _, peer := range peers {
		if peer.Free <= peer.Waiting {
			continue
		}
		all = append(all, peer)
		if peer.DataCentre == dataCentre {
			local = append(local, peer)
		}
	}
	if len(local) > 0 {
		all = local
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
