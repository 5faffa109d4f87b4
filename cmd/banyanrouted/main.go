// Command banyanrouted is the daemon that every instance runs.
package main

func main() {}
