// Package admin serves the operators' HTTP API of an instance: health,
// readiness, metrics, the catalogue, state dumps, graceful shutdown, and the
// status of the fleet.
package admin
