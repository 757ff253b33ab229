// Command gypsumdock is an entry instance of the proxy.
package main

func main() {}
