package admin

// WhereAnswer is the answer to GET /where: where a request would go now.
type WhereAnswer struct {
	// Instance is the instance that was asked, which would hold the caller's connection.
	Instance string `json:"instance"`
	Route    string `json:"route"`
	// Services holds an entry for each service among which the route divides its requests.
	Services []WhereService `json:"services"`
}

// WhereService is the explanation for one service.
type WhereService struct {
	Service string `json:"service"`
	// Weight is the service's weight in the traffic split of the route.
	Weight float64 `json:"weight"`
	// Home is the instance that decides; empty if the asked instance decides without knowing the others.
	Home string `json:"home"`
	// Error is why there is no explanation; the fields below are then not set.
	Error string `json:"error,omitempty"`
	// Upstream is empty if the request would be refused or would have to wait.
	Upstream string   `json:"upstream"`
	Helpers  []string `json:"helpers,omitempty"`
	// FirstToken is the predicted time to the first token in seconds; 0 if unknown.
	FirstToken float64 `json:"first_token_seconds,omitempty"`
	// Reason is that of the refusal, RetryAfter when the job may be placed again, in seconds.
	Reason     string           `json:"reason,omitempty"`
	RetryAfter float64          `json:"retry_after_seconds,omitempty"`
	Candidates []WhereCandidate `json:"candidates"`
	RuledOut   WhereRuledOut    `json:"ruled_out"`
	// ConfigVersion, ConfigAge and ListAge are what the planner decides by; ages are in seconds.
	ConfigVersion int64   `json:"config_version"`
	ConfigAge     float64 `json:"config_age_seconds"`
	ListAge       float64 `json:"list_age_seconds"`
}

// WhereCandidate is an upstream that could get the request.
type WhereCandidate struct {
	Upstream   string  `json:"upstream"`
	DataCentre string  `json:"data_centre"`
	FirstToken float64 `json:"first_token_seconds,omitempty"`
	// Cost is the cost to other jobs, in values of short jobs, or the load of an upstream of a plain
	// service, in jobs per slot.
	Cost float64 `json:"cost"`
}

// WhereRuledOut counts the upstreams that can't get the request, each by the first reason that applies.
type WhereRuledOut struct {
	Leaving   int `json:"leaving"`
	Evacuated int `json:"evacuated"`
	Paused    int `json:"paused_or_down"`
	Cold      int `json:"cold"`
	Limited   int `json:"limited"`
	NoSlot    int `json:"no_free_slot"`
	NoMemory  int `json:"no_memory"`
}
