package pgprobe

import (
	"net/netip"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgconn"
)

// setAddress sets the host and port of config from an address of the form IP:port.
func setAddress(config *pgconn.Config, address string) error {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return errors.Wrap(err, "parse upstream address")
	}
	config.Host = parsed.Addr().String()
	config.Port = parsed.Port()
	return nil
}
