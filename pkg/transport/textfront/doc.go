// Package textfront serves callers that use the platform's line protocol. Each
// session runs in one goroutine, which reads a statement, obtains an upstream
// for it and writes the answer. A unit of work is a statement outside a
// transaction, or a whole transaction; it uses one connection to one upstream.
//
// If a statement was not carried out, the caller is told either that nothing of
// it is kept, or that its outcome is unknown. The former is claimed only if no
// byte of a write or commit was sent, or if the upstream itself has said so.
package textfront
