// Package textlend lets instances run statements on each other's connections to
// an upstream that accepts too few connections for every instance. The lender
// only provides the connection; the borrower decides whether a statement may be
// sent and whether its answer may be passed on. A loan is a stream of the mesh:
// a ForwardOpen, a ForwardReady, and then a LoanAnswer for each LoanRequest.
// The end of the stream returns the connection.
//
// A lender is called a holder in the names of log events and their attributes.
package textlend
