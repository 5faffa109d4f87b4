// Package tunnel opens connections to upstreams, through another instance where this one has
// no path of its own.
//
// A path is a pair of an instance and an upstream, and apart from the health of both: an
// upstream that this instance cannot reach may serve all others. A path counts as broken once
// a direct connection has failed, or has not been established for a while, and another
// instance has connected to the same upstream meanwhile. Without that the upstream itself may
// be down, which says nothing of the path. A broken path is used again as soon as a direct
// connection is established; it is tried from time to time beside requests that go through
// other instances, so that idle paths cost nothing.
//
// A tunnel is a stream of bytes between a Dialer and an upstream, which a Server at another
// instance connects. Whoever writes to it notices no difference to a direct connection: the
// same bytes arrive in the same order, slow readers slow the writer, and the end and the
// failure of the connection are told apart on both sides. A Server connects to listed
// upstreams only, and directly only, so that a connection passes at most one other instance.
package tunnel
