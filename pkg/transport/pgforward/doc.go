// Package pgforward lends connections to upstreams between instances: the
// instance that a caller is connected to forwards a unit of work over the mesh
// to one that holds a connection, at most one hop.
//
// A stream of the mesh carries one unit. The lender answers the mesh's open
// message with a ForwardReady; after that the stream carries frontend messages
// one way and backend messages the other, as PostgreSQL defines them. Three
// frontend messages that a unit of work never holds stand for what else the
// borrower has to say:
//
//   - CopyFail asks to cancel the running statement. The lender reads no
//     further message before the upstream has taken the request in.
//   - CopyDone says that the connection must be reset before its next use.
//   - Terminate gives the connection back. A stream that ends without it
//     leaves the connection in a state that is not known, and it is closed.
package pgforward
