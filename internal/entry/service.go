package entry

import (
	"crypto/sha256"
	"net/http"
	"net/textproto"
	"path"
	"strings"

	"github.com/banyanroute/banyanroute/internal/admit"
	"github.com/banyanroute/banyanroute/internal/catalogue"
	"github.com/banyanroute/banyanroute/internal/dispatch"
	"github.com/banyanroute/banyanroute/internal/ledger"
	"github.com/banyanroute/banyanroute/internal/result"
)

// maxIdempotencyKeyBytes bounds an idempotency key.
const maxIdempotencyKeyBytes = 256

// callService serves a call to a plain service.
func (h *Handler) callService(x *exchange) *result.Error {
	service, route, rerr := x.serviceRoute()
	if rerr != nil {
		return rerr
	}
	key := x.r.Header.Get(HeaderIdempotencyKey)
	if !route.Idempotent && (key == "" || len(key) > maxIdempotencyKeyBytes) {
		return result.New(result.MissingKey, "this call needs the header %s of 1 to %d bytes", HeaderIdempotencyKey, maxIdempotencyKeyBytes)
	}
	limit, rerr := timeout(x.r.Header.Get(HeaderTimeout), h.opts.RequestTimeout, service.Limits, x.workspace.Limits)
	if rerr != nil {
		return rerr
	}
	body, release, rerr := h.readBody(x)
	if rerr != nil {
		return rerr
	}
	defer release()
	if rerr := h.begin(x, "service "+service.Name+" "+route.Method+" "+route.Prefix, x.started.Add(limit)); rerr != nil {
		return rerr
	}
	permit, rerr := h.opts.Limiter.Take(x.workspace.Name, 0)
	if rerr != nil {
		return rerr
	}
	defer permit.Done(0)
	call := h.serviceCall(x, service, body)
	call.Request.Deadline = x.started.Add(limit)
	x.limitWrites(call.Request.Deadline)
	call.Claim = claimRequest(x, call, key)
	return h.runService(x, call, route.Idempotent)
}

// runService runs the call and writes its answer.
func (h *Handler) runService(x *exchange, call *dispatch.ServiceCall, idempotent bool) *result.Error {
	run := h.opts.Dispatcher.AtMostOnce
	if idempotent {
		run = h.opts.Dispatcher.Idempotent
	}
	answer, err := run(x.r.Context(), call)
	if err != nil {
		return err
	}
	writeAnswer(x.w, answer)
	return nil
}

// serviceRoute returns the called service and the first of its routes that
// matches.
func (x *exchange) serviceRoute() (*catalogue.Entry, *catalogue.ServiceRoute, *result.Error) {
	name := x.r.PathValue("name")
	service := x.snapshot.Service(name)
	if service == nil {
		return nil, nil, result.New(result.UnknownService, "there is no service %q", name)
	}
	if !catalogue.Allows(x.workspace.Workspace.Services, name) {
		return nil, nil, result.New(result.Forbidden, "workspace %s may not use service %s", x.workspace.Name, name)
	}
	subPath := "/" + x.r.PathValue("rest")
	if !isCanonicalPath(subPath, x.r.URL.RawPath) {
		return nil, nil, result.New(result.BadRequest, "the path must not have dot segments, empty segments or encoded slashes")
	}
	for i := range service.Service.Routes {
		route := &service.Service.Routes[i]
		if (route.Method == "*" || route.Method == x.r.Method) && strings.HasPrefix(subPath, route.Prefix) {
			return service, route, nil
		}
	}
	return nil, nil, result.New(result.UnknownRoute, "service %s has no route for %s %s", name, x.r.Method, subPath)
}

// isCanonicalPath reports whether the path has no form that an upstream might
// normalise to another path. Such a path could match the route of an idempotent
// call here, and be retried, but reach a non-idempotent one at the upstream.
func isCanonicalPath(decoded, raw string) bool {
	trimmed := decoded
	if len(trimmed) > 1 {
		trimmed = strings.TrimSuffix(trimmed, "/")
	}
	hasEncodedSlash := strings.Contains(strings.ToLower(raw), "%2f") || strings.Contains(strings.ToLower(raw), "%5c")
	return path.Clean(trimmed) == trimmed && !hasEncodedSlash && !strings.Contains(decoded, `\`)
}

// hopByHopHeaders lists the headers that apply to one connection, or are meant
// for the router, and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Authorization", "Content-Length", HeaderTimeout,
}

// endToEndHeaders returns a copy of header without hop-by-hop headers.
func endToEndHeaders(header http.Header) http.Header {
	out := header.Clone()
	for _, list := range header["Connection"] {
		for _, name := range strings.Split(list, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}

// serviceCall builds the call without its deadline and claim.
func (h *Handler) serviceCall(x *exchange, service *catalogue.Entry, body []byte) *dispatch.ServiceCall {
	header := endToEndHeaders(x.r.Header)
	header.Set(HeaderWorkspace, x.workspace.Name)
	target := "/" + x.r.PathValue("rest")
	if escaped := x.r.URL.EscapedPath(); escaped != "" {
		target = strings.TrimPrefix(escaped, "/services/"+service.Name)
	}
	if x.r.URL.RawQuery != "" {
		target += "?" + x.r.URL.RawQuery
	}
	return &dispatch.ServiceCall{
		ID:     x.id,
		Method: x.r.Method,
		Path:   target,
		Header: header,
		Body:   body,
		Request: admit.Request{
			ID:          x.id,
			Workspace:   x.workspace.Name,
			Weight:      x.workspace.Workspace.Weight,
			Target:      service.Name,
			Service:     true,
			Class:       classOf(x.workspace, service),
			Fingerprint: fingerprint(x.workspace.Name, body),
			DataCentre:  h.opts.DataCentre,
		},
	}
}

// claimRequest identifies the call by its idempotency key, and its content by a
// hash of service, method, path and body.
func claimRequest(x *exchange, call *dispatch.ServiceCall, key string) ledger.Request {
	hash := sha256.New()
	for _, part := range []string{x.r.PathValue("name"), call.Method, call.Path} {
		hash.Write([]byte(part))
		hash.Write([]byte{0})
	}
	hash.Write(call.Body)
	req := ledger.Request{Workspace: x.workspace.Name, Key: key, Deadline: call.Request.Deadline}
	hash.Sum(req.Fingerprint[:0])
	return req
}

// writeAnswer sends an upstream's answer to the caller.
func writeAnswer(w http.ResponseWriter, answer *dispatch.Answer) {
	header := w.Header()
	for name, values := range endToEndHeaders(answer.Header) {
		if name != HeaderRequestID {
			header[name] = values
		}
	}
	header.Set(HeaderResultCode, "0")
	if answer.Replayed {
		header.Set(HeaderReplayed, "true")
	}
	w.WriteHeader(answer.Status)
	w.Write(answer.Body)
}
