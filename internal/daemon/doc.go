// Package daemon wires the components of an instance together, starts them as
// actors of a run group, and stops them in order.
package daemon
