// Package entry serves callers over HTTP: the OpenAI API for models and
// /services/{name}/ for plain services. It authenticates workspaces, checks
// requests against the catalogue's limits, and answers with result codes.
package entry
