// Package textlend lends connections to upstreams between instances, where an
// upstream takes too few for each instance to have its own. The borrower
// decides on everything but the connection: whether a statement may be sent,
// and whether its answer may be given. A loan is a stream of the mesh: a
// ForwardOpen, a ForwardReady, and then a LoanAnswer for each LoanRequest. The
// end of the stream gives the connection back.
package textlend
