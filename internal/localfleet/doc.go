// Package localfleet starts a whole deployment as processes on loopback: the
// platform's stand-in, engines, plain services and instances. The demo, the
// fault run and the capacity measurements use it; no part of the product does.
package localfleet
