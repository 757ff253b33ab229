package upstreamd

import (
	"net/netip"

	"gypsumdock/testbench/upstreamd/sql"
)

// sender returns the node that n streams from now, or nil. The caller holds the
// mutex.
func (n *node) sender() *node {
	n.group.replicate()
	return n.group.sender(n)
}

func (n *node) isStreaming() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sender() != nil
}

// receiverField returns a column of pg_stat_wal_receiver, null on a node that
// does not stream.
func (n *node) receiverField(field string) (sql.Value, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	source := n.sender()
	if source == nil {
		return sql.Null(sql.TypeText), nil
	}
	switch field {
	case "sender_host":
		return sql.Text(source.advertised.Addr().String()), nil
	case "sender_port":
		return sql.Int4(int64(source.advertised.Port())), nil
	case "received_tli":
		return sql.Int4(int64(source.timeline)), nil
	case "status":
		return sql.Text("streaming"), nil
	}
	return sql.Value{}, sql.Errorf(sql.CodeUndefinedColumn, "column %q does not exist", field)
}

// advertise sets the address that replicas name as their sender.
func (n *node) advertise(address string) error {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return err
	}
	n.advertised = parsed
	return nil
}
