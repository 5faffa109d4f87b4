package entry

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/banyanroute/banyanroute/internal/admit"
	"github.com/banyanroute/banyanroute/internal/catalogue"
	"github.com/banyanroute/banyanroute/internal/dispatch"
	"github.com/banyanroute/banyanroute/internal/result"
)

// generate serves a request to a model.
func (h *Handler) generate(x *exchange) *result.Error {
	raw, release, rerr := h.readBody(x)
	if rerr != nil {
		return rerr
	}
	defer release()
	req, rerr := parseGeneration(x.workspace.Name, raw)
	if rerr != nil {
		return rerr
	}
	model, rerr := x.model(req)
	if rerr != nil {
		return rerr
	}
	limit, rerr := timeout(x.r.Header.Get(HeaderTimeout), h.opts.RequestTimeout, model.Limits, x.workspace.Limits)
	if rerr != nil {
		return rerr
	}
	if rerr := h.begin(x, "model "+model.Name, x.started.Add(limit)); rerr != nil {
		return rerr
	}
	permit, rerr := h.opts.Limiter.Take(x.workspace.Name, req.promptTokens+req.outputTokens)
	if rerr != nil {
		return rerr
	}
	schedulerReq := h.schedulerRequest(x, req, model, limit)
	x.limitWrites(schedulerReq.Deadline)
	if !req.plainText && !req.stream {
		defer permit.Done(req.promptTokens + req.outputTokens)
		return h.forwardGeneration(x, raw, schedulerReq)
	}
	sink := newSink(x, req.stream)
	defer func() { permit.Done(req.promptTokens + sink.tokens()) }()
	return h.opts.Dispatcher.Generate(x.r.Context(), &dispatch.Generation{
		ID:          x.id,
		Path:        x.r.URL.Path,
		Body:        req.body,
		Continuable: req.plainText,
		Request:     schedulerReq,
	}, sink)
}

// model returns the request's model if the workspace may use it and the
// request is within the limits.
func (x *exchange) model(req *generationRequest) (*catalogue.Entry, *result.Error) {
	model := x.snapshot.Model(req.model)
	if model == nil {
		return nil, result.New(result.UnknownModel, "there is no model %q", req.model)
	}
	if !catalogue.Allows(x.workspace.Workspace.Models, req.model) {
		return nil, result.New(result.Forbidden, "workspace %s may not use model %s", x.workspace.Name, req.model)
	}
	for _, limits := range []catalogue.Limits{model.Limits, x.workspace.Limits} {
		if limits.PromptTokens > 0 && req.promptTokens > limits.PromptTokens {
			return nil, result.New(result.BodyTooLarge, "the prompt has about %d tokens; allowed are %d", req.promptTokens, limits.PromptTokens)
		}
		if limits.OutputTokens > 0 && req.outputTokens > limits.OutputTokens {
			return nil, result.New(result.BadRequest, "field max_tokens is %d; allowed are %d", req.outputTokens, limits.OutputTokens)
		}
	}
	return model, nil
}

// schedulerRequest returns what the scheduler needs to know about the request.
func (h *Handler) schedulerRequest(x *exchange, req *generationRequest, model *catalogue.Entry, limit time.Duration) admit.Request {
	return admit.Request{
		ID:           x.id,
		Workspace:    x.workspace.Name,
		Weight:       x.workspace.Workspace.Weight,
		Target:       req.model,
		Class:        classOf(x.workspace, model),
		PromptTokens: req.promptTokens,
		OutputTokens: req.outputTokens,
		Blocks:       req.blocks,
		Deadline:     x.started.Add(limit),
		Fingerprint:  req.fingerprint,
		Parts:        req.parts,
		DataCentre:   h.opts.DataCentre,
	}
}

// classOf returns the scheduling class of a request: the workspace's if set,
// else the target's, else standard.
func classOf(workspace, target *catalogue.Entry) catalogue.Class {
	switch {
	case workspace.Class != "":
		return workspace.Class
	case target.Class != "":
		return target.Class
	}
	return catalogue.ClassStandard
}

// forwardGeneration forwards a request whose answer the router cannot assemble
// from a stream, for example one with tools, as one idempotent call.
func (h *Handler) forwardGeneration(x *exchange, raw []byte, schedulerReq admit.Request) *result.Error {
	header := http.Header{}
	header.Set("Content-Type", "application/json")
	answer, err := h.opts.Dispatcher.Idempotent(x.r.Context(), &dispatch.ServiceCall{
		ID:               x.id,
		Method:           http.MethodPost,
		Path:             x.r.URL.Path,
		Header:           header,
		Body:             raw,
		NoSilenceTimeout: true,
		Request:          schedulerReq,
	})
	if err != nil {
		return err
	}
	writeAnswer(x.w, answer)
	return nil
}

// modelList is the answer of GET /v1/models in the form of the OpenAI API.
type modelList struct {
	Object string          `json:"object"`
	Data   []modelListItem `json:"data"`
}

// modelListItem is one model in a modelList.
type modelListItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// listModels answers with the models that the workspace may use.
func (h *Handler) listModels(x *exchange) *result.Error {
	list := modelList{Object: "list", Data: []modelListItem{}}
	for _, e := range x.snapshot.Entries(catalogue.KindModel) {
		if catalogue.Allows(x.workspace.Workspace.Models, e.Name) {
			list.Data = append(list.Data, modelListItem{ID: e.Name, Object: "model", OwnedBy: e.Owner})
		}
	}
	x.w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(x.w).Encode(list) //nolint:errcheck // the caller may have left
	return nil
}
