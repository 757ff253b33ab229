// Package pgforward lends connections to upstreams between instances: the
// instance that a caller is connected to forwards a unit of work over the mesh
// to one that holds a connection, at most one hop.
//
// A stream of the mesh carries one unit. The lender answers the ForwardOpen with a
// ForwardReady; after that the stream carries PostgreSQL's frontend messages from
// the borrower and its backend messages from the lender. Three frontend messages
// that a unit of work never contains are the borrower's commands to the lender:
//
//   - CopyFail asks to cancel the running statement. The lender reads no
//     further message before the upstream has processed the request.
//   - CopyDone says that the connection must be reset before its next use.
//   - Terminate returns the connection. If a stream ends without it, the state
//     of the connection is unknown and the lender closes it.
package pgforward
