package instance

import (
	"net"

	"github.com/go-faster/errors"

	"gypsumdock/pkg/settings"
)

// listen opens all listeners. If one fails, it closes those already open.
func listen(configured *settings.Settings) (listeners, error) {
	var opened listeners
	targets := []struct {
		listener *net.Listener
		address  string
		name     string
	}{
		{&opened.callers, configured.Callers.Listen, "callers"},
		{&opened.mesh, configured.Mesh.Listen, "mesh"},
		{&opened.admin, configured.Admin.Listen, "admin"},
	}
	for _, target := range targets {
		listener, err := net.Listen("tcp", target.address)
		if err != nil {
			opened.close()
			return listeners{}, errors.Wrapf(err, "listen for %s", target.name)
		}
		*target.listener = listener
	}
	return opened, nil
}

// close closes the listeners that are open.
func (l listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.mesh, l.admin} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}
