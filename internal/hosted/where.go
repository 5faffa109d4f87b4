package hosted

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/banyanroute/banyanroute/internal/admin"
	"github.com/banyanroute/banyanroute/internal/deployment"
	"github.com/banyanroute/banyanroute/internal/passthrough"
	"github.com/banyanroute/banyanroute/internal/placement"
	"github.com/banyanroute/banyanroute/internal/result"
)

// explainedID is the ID of jobs that are explained only.
const explainedID = "explained"

// maxExplainedTokens bounds the token counts of an explained request; larger ones are typing errors.
const maxExplainedTokens = 100_000_000

// serveWhere explains where a request would go now.
func (n *Instance) serveWhere(w http.ResponseWriter, r *http.Request) {
	answer, err := explainWhere(r.Context(), n.settings.Instance, n.state.View(), n.fleet, r.URL.Query())
	if err != nil {
		admin.WriteError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(answer); err != nil {
		log.WithError(err).Debug("writing explanation failed")
	}
}

// explainWhere explains a request for each service of its route.
func explainWhere(ctx context.Context, instance string, v *deployment.View, fleet *placement.Fleet, query url.Values) (admin.WhereAnswer, error) {
	request, err := hypothetical(v, query)
	if err != nil {
		return admin.WhereAnswer{}, err
	}
	answer := admin.WhereAnswer{Instance: instance, Route: request.Route.Name}
	for _, target := range request.Route.Targets {
		home, e, err := fleet.Explain(ctx, passthrough.HypotheticalJob(request, target.Service))
		s := admin.WhereService{Service: target.Service, Weight: target.Weight, Home: home}
		if err != nil {
			s.Error = err.Error()
		} else {
			explained(&s, e)
		}
		answer.Services = append(answer.Services, s)
	}
	return answer, nil
}

// hypothetical returns the request that a query describes.
func hypothetical(v *deployment.View, query url.Values) (passthrough.Hypothetical, error) {
	var r passthrough.Hypothetical
	if v.Config == nil {
		return r, result.New(result.NotReady, "no configuration is known yet")
	}
	var err error
	if r.Call, err = hypotheticalCall(query); err != nil {
		return r, err
	}
	host, path := strings.ToLower(query.Get("host")), query.Get("path")
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	r.Route = v.RouteOf(host, path)
	if r.Route == nil || len(r.Route.Targets) == 0 {
		return r, result.New(result.UnknownRoute, "no route has host %q and path %q", host, path)
	}
	r.Priority = r.Route.Priority
	r.Workspace = query.Get("workspace")
	if r.Workspace == "" {
		return r, nil
	}
	workspace, known := workspaceNamed(v.Config, r.Workspace)
	if !known {
		return r, result.New(result.EntryNotFound, "no workspace is named %q", r.Workspace)
	}
	if workspace.Priority != deployment.NoPriority {
		r.Priority = workspace.Priority
	}
	return r, nil
}

// hypotheticalCall returns what a query says of the request apart from its route.
func hypotheticalCall(query url.Values) (passthrough.CallerInfo, error) {
	var c passthrough.CallerInfo
	c.ID = explainedID
	for name, field := range map[string]*int{"prompt": &c.PromptTokens, "output": &c.LikelyOutputTokens, "max_output": &c.MaxOutputTokens} {
		text := query.Get(name)
		if text == "" {
			continue
		}
		number, err := strconv.Atoi(text)
		if err != nil || number < 0 || number > maxExplainedTokens {
			return c, result.New(result.BadRequest, "%s is %q, not a number of tokens from 0 to %d", name, text, maxExplainedTokens)
		}
		*field = number
	}
	if text := query.Get("deadline"); text != "" {
		deadline, err := time.ParseDuration(text)
		if err != nil || deadline <= 0 {
			return c, result.New(result.BadRequest, "deadline is %q, not a positive duration such as 10s", text)
		}
		c.Remaining = deadline
	}
	return c, nil
}

// workspaceNamed returns a workspace by its name.
func workspaceNamed(c *deployment.Configuration, name string) (deployment.Workspace, bool) {
	for _, w := range c.Keys {
		if w.Name == name {
			return w, true
		}
	}
	return deployment.Workspace{}, false
}

// explained fills in an explanation.
func explained(s *admin.WhereService, e placement.Explanation) {
	s.Upstream, s.FirstToken = e.Decision.Upstream, e.Decision.Expect.Seconds()
	for _, h := range e.Decision.Helpers {
		s.Helpers = append(s.Helpers, h.Upstream)
	}
	if s.Upstream == "" {
		s.Reason, s.RetryAfter = e.Decision.Reason.String(), e.Decision.RetryAfter.Seconds()
	}
	s.Candidates = make([]admin.WhereCandidate, len(e.Candidates))
	for i, c := range e.Candidates {
		s.Candidates[i] = admin.WhereCandidate{Upstream: c.Upstream, DataCentre: c.DataCentre, FirstToken: c.Expect.Seconds(), Cost: c.Cost}
	}
	r := e.RuledOut
	s.RuledOut = admin.WhereRuledOut{Leaving: r.Leaving, Evacuated: r.Evacuated, Paused: r.Paused, Cold: r.Cold, Limited: r.Limited, NoSlot: r.NoSlot, NoMemory: r.NoMemory}
	s.ConfigVersion, s.ConfigAge, s.ListAge = e.ConfigVersion, e.ConfigAge.Seconds(), e.ListAge.Seconds()
}
