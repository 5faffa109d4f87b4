// Package httpjson provides the HTTP and JSON functions that the stand-ins share.
package httpjson

import (
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/gravitational/trace"
)

// maxBodyBytes bounds the body that Read accepts.
const maxBodyBytes = 64 << 20

// readHeaderTimeout bounds the time to read the headers of a request.
const readHeaderTimeout = 10 * time.Second

// Write answers with v as JSON.
func Write(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// Error is the body of an error answer in the format of the OpenAI API.
type Error struct {
	Error ErrorBody `json:"error"`
}

// ErrorBody is the inner part of Error.
type ErrorBody struct {
	Message string `json:"message"`
	Type    string `json:"type"`
}

// Fail answers with an error body.
func Fail(w http.ResponseWriter, status int, kind, message string) {
	Write(w, status, Error{Error: ErrorBody{Message: message, Type: kind}})
}

// Read decodes the request's body into v. On failure it answers with status 400
// and returns false.
func Read(w http.ResponseWriter, r *http.Request, v any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(v)
	if err != nil {
		Fail(w, http.StatusBadRequest, "bad_request", err.Error())
		return false
	}
	return true
}

// Reset closes the connection with a TCP reset instead of an answer.
func Reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// Server returns an HTTP/1.1 server with the limits of the stand-ins.
func Server(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
}

// Listen opens a TCP listener. It accepts loopback addresses only.
func Listen(address string) (net.Listener, error) {
	if err := CheckLoopback(address); err != nil {
		return nil, trace.Wrap(err)
	}
	l, err := net.Listen("tcp", address)
	return l, trace.Wrap(err)
}

// CheckLoopback returns an error unless address, "IP:PORT", is a loopback IP.
func CheckLoopback(address string) error {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return trace.BadParameter("address %q: %v", address, err)
	}
	ip := net.ParseIP(host)
	if ip == nil || !ip.IsLoopback() {
		return trace.BadParameter("address %q is not a loopback IP", address)
	}
	return nil
}

// CheckLoopbackURL returns an error unless rawURL is an HTTP URL whose host is a
// loopback IP with a port.
func CheckLoopbackURL(rawURL string) error {
	u, err := url.Parse(rawURL)
	if err != nil {
		return trace.BadParameter("URL %q: %v", rawURL, err)
	}
	if u.Scheme != "http" && u.Scheme != "https" {
		return trace.BadParameter("URL %q: scheme must be http or https", rawURL)
	}
	return trace.Wrap(CheckLoopback(u.Host))
}
