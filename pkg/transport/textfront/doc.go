// Package textfront serves callers whose protocol is made of lines. One
// goroutine serves a session: it reads a statement, finds the upstream for it,
// and answers. A unit of work is a statement outside a transaction or a whole
// transaction; it holds one connection to one upstream.
//
// What callers are told of a statement that was not carried out is either a
// promise that nothing of it is kept, or that its outcome is not known. It is a
// promise only if no byte of a write or commit had been sent, or the upstream
// itself has said so.
package textfront
