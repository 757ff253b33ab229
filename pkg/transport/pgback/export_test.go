package pgback

import "github.com/jackc/pgx/v5/pgconn"

// SetDialFunc replaces how pools open the sockets of their connections.
func SetDialFunc(pools *Pools, dial pgconn.DialFunc) { pools.dialer.base.DialFunc = dial }
