// Package textforward forwards units of work to the instances that serve their
// groups, over streams of the mesh. It decides nothing about a unit: the server
// places it, executes it and words the answer for the caller. An error says
// whether the statement may have reached the server.
package textforward
