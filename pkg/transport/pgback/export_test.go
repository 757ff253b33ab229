package pgback

import "github.com/jackc/pgx/v5/pgconn"

// SetDialFunc replaces the function that opens the sockets of pools.
func SetDialFunc(pools *Pools, dial pgconn.DialFunc) { pools.dialer.base.DialFunc = dial }
