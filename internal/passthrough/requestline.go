package passthrough

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/url"
	"strings"
)

// splitTarget splits a request target into path and query, without the "?". The absolute form
// that proxies are sent is reduced to its path and query.
func splitTarget(target string) (path, query string, hasQuery bool) {
	if scheme, rest, found := strings.Cut(target, "://"); found && !strings.ContainsAny(scheme, "/?") {
		i := strings.IndexAny(rest, "/?")
		switch {
		case i < 0:
			target = "/"
		case rest[i] == '?':
			target = "/" + rest[i:]
		default:
			target = rest[i:]
		}
	}
	return strings.Cut(target, "?")
}

// targetURL returns the URL with which net/http writes the target byte for byte, except that it
// writes the scheme before a path that begins with two slashes. originForm removes that.
func targetURL(address, target string) *url.URL {
	path, query, hasQuery := splitTarget(target)
	return &url.URL{Scheme: "http", Host: address, Opaque: path, RawQuery: query, ForceQuery: hasQuery && query == ""}
}

// schemePrefixKey is the key of the bytes before the path, "METHOD http:", in the context of a
// request whose path begins with two slashes.
type schemePrefixKey struct{}

// withOriginForm returns a context with which originForm has the target written in origin form.
func withOriginForm(ctx context.Context, method string, target *url.URL) context.Context {
	if !strings.HasPrefix(target.Opaque, "//") {
		return ctx
	}
	return context.WithValue(ctx, schemePrefixKey{}, method+" "+target.Scheme+":")
}

// originForm returns conn, or a connection that removes the scheme from the request line.
func originForm(ctx context.Context, conn net.Conn) net.Conn {
	prefix, ok := ctx.Value(schemePrefixKey{}).(string)
	if !ok {
		return conn
	}
	return &originFormConn{Conn: conn, prefix: []byte(prefix)}
}

// originFormConn is a connection for one request.
type originFormConn struct {
	net.Conn
	// prefix is the beginning of the first write; nil after it.
	prefix []byte
}

// errRequestLine is returned if the request line does not begin as expected; nothing was written.
var errRequestLine = errors.New("request line is not in the expected form")

// Write implements net.Conn.
func (c *originFormConn) Write(p []byte) (int, error) {
	if c.prefix == nil {
		return c.Conn.Write(p)
	}
	if !bytes.HasPrefix(p, c.prefix) {
		return 0, errRequestLine
	}
	removed := len("http:")
	method := c.prefix[:len(c.prefix)-removed]
	line := append(bytes.Clone(method), p[len(c.prefix):]...)
	c.prefix = nil
	n, err := c.Conn.Write(line)
	return min(n+removed, len(p)), err
}

// Via returns the ID of the instance through which the connection was opened; empty if it was
// opened directly.
func (c *originFormConn) Via() string {
	if t, ok := c.Conn.(tunnelled); ok {
		return t.Via()
	}
	return ""
}
