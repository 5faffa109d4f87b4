package order

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/gravitational/trace"

	"github.com/banyanroute/banyanroute/internal/upstream"
)

// Errors that Engines.Order returns for a refused order.
var (
	// ErrFenced means that the engine has seen a higher fencing token.
	ErrFenced = errors.New("engine has seen a higher fencing token")
	// ErrIssuer means that the engine does not accept the issuer of the order.
	ErrIssuer = errors.New("engine does not accept the order's issuer")
)

// maxObservedBytes bounds the body of an engine's answer.
const maxObservedBytes = 1 << 20

// Engines observes engines and sends them orders.
type Engines interface {
	Observe(ctx context.Context, e Engine) (upstream.ObservedState, error)
	// Order returns ErrFenced or ErrIssuer if the engine refused the order. After
	// any other error the order may still be executed.
	Order(ctx context.Context, e Engine, o upstream.Order) error
}

// HTTPEngines implements Engines over HTTP.
type HTTPEngines struct {
	Client *http.Client
}

// Observe implements Engines.
func (h HTTPEngines) Observe(ctx context.Context, e Engine) (upstream.ObservedState, error) {
	var o upstream.ObservedState
	data, err := h.call(ctx, http.MethodGet, e.URL+upstream.PathObserved, nil)
	if err != nil {
		return o, err
	}
	return o, trace.Wrap(json.Unmarshal(data, &o), "decoding state of engine %q", e.ID)
}

// Order implements Engines.
func (h HTTPEngines) Order(ctx context.Context, e Engine, o upstream.Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return trace.Wrap(err)
	}
	_, err = h.call(ctx, http.MethodPost, e.URL+upstream.PathOrder, body)
	return err
}

// call makes one HTTP call and returns the body of a successful answer.
func (h HTTPEngines) call(ctx context.Context, method, url string, body []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := h.Client.Do(req)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxObservedBytes))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	switch {
	case resp.StatusCode == http.StatusPreconditionFailed:
		return nil, ErrFenced
	case resp.StatusCode == http.StatusForbidden:
		return nil, ErrIssuer
	case resp.StatusCode/100 != 2:
		return nil, trace.BadParameter("engine answered with status %s", resp.Status)
	}
	return data, nil
}
