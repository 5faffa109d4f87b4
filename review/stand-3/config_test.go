package main

// Names of the deployment that all cases share.
const (
	llmService   = "tutor-llm"
	plainService = "booking-api"
	key          = "n2ctnfzs989anu6wsjnb"
	pathPlan     = "/plan/"
	pathBook     = "/book/"
	pathRead     = "/read/"
)

// route returns a route with the settings of the small deployment.
func route(name, prefix, kind, service string, timeoutMs, targetMs int, more map[string]any) map[string]any {
	r := map[string]any{
		"name": name, "host": host, "prefix": prefix, "kind": kind, "timeout_ms": timeoutMs, "target_latency_ms": targetMs,
		"priority": 1, "service": service, "max_attempts": 2, "allow_anonymous": false,
	}
	for k, v := range more {
		r[k] = v
	}
	return r
}

// routes returns the routes of the small deployment.
func routes() []any {
	return []any{
		route("lesson-plan", pathPlan, "streaming", llmService, 10000, 300, map[string]any{"sticky_sessions": true, "resume_streams": true, "gap_target_ms": 250}),
		route("book-slot", pathBook, "unsafe", plainService, 2500, 150, nil),
		route("schedule-read", pathRead, "safe", plainService, 2500, 150, nil),
	}
}

// configure writes a version of the configuration with the services of the small deployment.
func (w *world) configure(version int, routes []any) {
	w.configureServices(version, routes, []any{
		map[string]any{"name": llmService, "health_path": "/health", "connection_limit": 264, "protocol": "h1", "tls": false, "engine": map[string]any{
			"slots": 16, "kv_capacity_tokens": 232000, "kv_token_bytes": 327680, "stride": 43, "step_ms": 1.02, "per_seq_ms": 0.00226,
			"context_per_k": 0.00431, "read_per_s": 206000.0, "pairs_per_m": 0.138, "chunk": 2048, "report_lag_ms": 200.0,
			"usual": map[string]any{"prompt": 12327, "answer": 1303}, "hop_ms": 0.075,
		}},
		map[string]any{"name": plainService, "health_path": "/health", "connection_limit": 96, "protocol": "h1", "tls": false},
	})
}

// configureServices writes a version of the configuration.
func (w *world) configureServices(version int, routes, services []any) {
	w.store.put("op", "config", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "api_keys": []string{key}}},
	})
	w.log("the store has acknowledged configuration %d", version)
}
