// Package admin serves the operators' HTTP API of an instance: health,
// readiness, metrics, the catalogue, state dumps, the planned stop, and the
// status of the fleet.
package admin
