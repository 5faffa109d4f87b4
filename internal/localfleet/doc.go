// Package localfleet starts a complete deployment as processes on loopback: the
// stand-in of the platform, engines, plain services and instances. It is for
// demonstrations, fault tests and capacity measurements; no part of the product
// uses it.
package localfleet
