package platformfake

import (
	"context"
	"slices"

	"gypsumdock/pkg/coordination/platform"
)

// Objects implements platform.Objects for a Platform.
type Objects struct{ platform *Platform }

// Objects returns the object store of the platform.
func (p *Platform) Objects() Objects { return Objects{platform: p} }

// Put stores data and returns its digest.
func (o Objects) Put(_ context.Context, data []byte) (string, error) {
	o.platform.mu.Lock()
	defer o.platform.mu.Unlock()
	if o.platform.down {
		return "", ErrDown
	}
	digest := platform.Digest(data)
	o.platform.objects[digest] = slices.Clone(data)
	return digest, nil
}

// Get returns the object, or platform.ErrNoObject if it does not exist.
func (o Objects) Get(_ context.Context, digest string) ([]byte, error) {
	o.platform.mu.Lock()
	defer o.platform.mu.Unlock()
	if o.platform.down {
		return nil, ErrDown
	}
	data, ok := o.platform.objects[digest]
	if !ok {
		return nil, platform.ErrNoObject
	}
	return slices.Clone(data), nil
}
