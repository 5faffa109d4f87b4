// Command banyanload generates load against running instances and reports what
// it measured. It talks to loopback addresses only.
package main

func main() {}
