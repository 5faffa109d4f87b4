package main

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/banyanroute/banyanroute/internal/admin"
	"github.com/banyanroute/banyanroute/internal/catalogue"
	"github.com/banyanroute/banyanroute/internal/result"
	"github.com/banyanroute/banyanroute/internal/sleep"
)

const (
	// maxAnswerBytes bounds the body of an answer.
	maxAnswerBytes = 64 << 20
	// maxEditAttempts bounds how often an edit with an unknown outcome is sent;
	// the pause between attempts grows by editBackoffFactor.
	maxEditAttempts   = 5
	editBackoffFactor = 2
	// defaultURLScheme is added to an address without a scheme.
	defaultURLScheme = "http://"
)

// errOutcomeUnknown means that an edit was sent and may or may not have been
// accepted.
var errOutcomeUnknown = errors.New("the edit was sent and its outcome is unknown")

// client calls the operators' API of the first instance that answers.
type client struct {
	bases []string
	token string
	http  *http.Client
	// retryPause is the pause before the first retry of an edit.
	retryPause time.Duration
}

func newClient(opts globalOptions) (*client, error) {
	transport := &http.Transport{}
	if opts.CACert != "" {
		pem, err := os.ReadFile(opts.CACert)
		if err != nil {
			return nil, err
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(pem) {
			return nil, fmt.Errorf("%s contains no PEM certificate", opts.CACert)
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	}
	c := &client{token: opts.Token, retryPause: opts.RetryPause, http: &http.Client{Timeout: opts.Timeout, Transport: transport}}
	for _, base := range strings.Split(opts.Address, ",") {
		if !strings.Contains(base, "://") {
			base = defaultURLScheme + base
		}
		c.bases = append(c.bases, strings.TrimSuffix(strings.TrimSpace(base), "/"))
	}
	return c, nil
}

// get reads a path of the first instance that answers.
func (c *client) get(ctx context.Context, path string, answer any) error {
	return c.call(ctx, http.MethodGet, path, nil, answer)
}

// call tries the addresses in order until an instance answers; an error answer
// counts as an answer.
func (c *client) call(ctx context.Context, method, path string, body []byte, answer any) error {
	var errs []error
	for _, base := range c.bases {
		err := c.callOne(ctx, base, method, path, body, answer)
		var server *serverError
		if err == nil || errors.As(err, &server) {
			return err
		}
		errs = append(errs, err)
	}
	return unanswered(errs)
}

// unanswered returns the error of a call that all addresses failed to answer, with their errors.
func unanswered(errs []error) error {
	kind := errUnreachable
	for _, err := range errs {
		var op *net.OpError
		if !errors.As(err, &op) || op.Op != "dial" {
			kind = errNoAnswer
		}
	}
	return fmt.Errorf("%w: %w", kind, errors.Join(errs...))
}

func (c *client) callOne(ctx context.Context, base, method, path string, body []byte, answer any) error {
	req, err := http.NewRequestWithContext(ctx, method, base+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return decodeErrorAnswer(resp.StatusCode, data)
	}
	return json.Unmarshal(data, answer)
}

// decodeErrorAnswer returns the error of an answer whose status is not 200.
func decodeErrorAnswer(status int, data []byte) error {
	var answer admin.ErrorAnswer
	if err := json.Unmarshal(data, &answer); err != nil || answer.Error.Code == result.OK {
		return fmt.Errorf("status %d: %s", status, bytes.TrimSpace(data))
	}
	return &serverError{body: answer.Error}
}

// send sends an edit until its outcome is known: each attempt carries the same
// edit ID, so that the edit takes effect at most once. After an attempt whose
// outcome is unknown, an error that does not concern the edit itself, such as
// an unavailable store, leaves the outcome unknown.
func (c *client) send(ctx context.Context, edit catalogue.Edit) (catalogue.Applied, error) {
	var applied catalogue.Applied
	body, err := json.Marshal(edit)
	if err != nil {
		return applied, err
	}
	outcomeUnknown := false
	pause := c.retryPause
	for range maxEditAttempts {
		err = c.call(ctx, http.MethodPost, admin.PathEdits, body, &applied)
		outcomeUnknown = outcomeUnknown || mayBeAccepted(err)
		if !outcomeUnknown || isFinal(err) {
			return applied, err
		}
		if !sleep.For(ctx, pause) {
			break
		}
		pause *= editBackoffFactor
	}
	return applied, fmt.Errorf("%w; retry with --id %s: %w", errOutcomeUnknown, edit.ID, err)
}

// mayBeAccepted reports whether an edit may have been accepted although the call
// failed.
func mayBeAccepted(err error) bool {
	var server *serverError
	if errors.As(err, &server) {
		return server.body.Execution != result.NotRun && server.body.Code.Info().Execution != result.NotRun
	}
	return errors.Is(err, errNoAnswer)
}

// isFinal reports whether the answer decides the outcome of all attempts of an
// edit: the edit was accepted, or it was refused because of its content.
func isFinal(err error) bool {
	var server *serverError
	if errors.As(err, &server) {
		return finalCodes[server.body.Code]
	}
	return err == nil
}

// finalCodes are the codes with which an instance refuses an edit after it has
// looked up the edit ID, so that no earlier attempt was accepted.
var finalCodes = map[result.Code]bool{
	result.EditConflict:  true,
	result.EditInvalid:   true,
	result.EditForbidden: true,
	result.EntryNotFound: true,
}

func (c *client) entries(ctx context.Context, kind, owner string) (admin.Entries, error) {
	var answer admin.Entries
	query := url.Values{"kind": {kind}, "owner": {owner}}
	err := c.get(ctx, admin.PathEntries+"?"+query.Encode(), &answer)
	return answer, err
}

func (c *client) entry(ctx context.Context, key catalogue.Key) (admin.EntryAnswer, error) {
	var answer admin.EntryAnswer
	err := c.get(ctx, admin.PathEntries+"/"+url.PathEscape(string(key.Kind))+"/"+url.PathEscape(key.Name), &answer)
	return answer, err
}

// changes returns up to limit changes after a revision, or the latest ones if after
// is nil.
func (c *client) changes(ctx context.Context, after *catalogue.Revision, limit int) ([]catalogue.Change, error) {
	query := url.Values{"limit": {strconv.Itoa(limit)}}
	if after != nil {
		query.Set("after", strconv.FormatUint(uint64(*after), 10))
	}
	var answer admin.HistoryAnswer
	err := c.get(ctx, admin.PathHistory+"?"+query.Encode(), &answer)
	return answer.Changes, err
}

func (c *client) change(ctx context.Context, rev catalogue.Revision) (catalogue.Change, error) {
	var answer catalogue.Change
	err := c.get(ctx, admin.PathHistory+"/"+strconv.FormatUint(uint64(rev), 10), &answer)
	return answer, err
}

func (c *client) changeByID(ctx context.Context, id string) (catalogue.Change, error) {
	var answer catalogue.Change
	err := c.get(ctx, admin.PathEdits+"/"+url.PathEscape(id), &answer)
	return answer, err
}

// statusPollInterval is the time between two polls of the fleet's status.
const statusPollInterval = 50 * time.Millisecond

// waitApplied waits until all reachable instances have applied a revision.
func (c *client) waitApplied(ctx context.Context, rev catalogue.Revision, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		var status admin.Status
		err := c.get(ctx, admin.PathStatus, &status)
		behind := instancesBehind(status, rev)
		if err == nil && len(behind) == 0 {
			return nil
		}
		if !sleep.For(ctx, statusPollInterval) {
			return fmt.Errorf("%w: revision %d is missing on %s", errNotApplied, rev, orNone(behind))
		}
	}
}

// instancesBehind returns the reachable instances whose revision is below rev.
func instancesBehind(status admin.Status, rev catalogue.Revision) []string {
	var behind []string
	for _, s := range status.Instances {
		if s.Phase != admin.PhaseUnreachable && s.Revision < rev {
			behind = append(behind, s.ID)
		}
	}
	return behind
}
