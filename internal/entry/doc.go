// Package entry is where callers' requests enter an instance. It serves callers
// over HTTP: the OpenAI API for models and /services/{name}/ for plain services. It
// authenticates workspaces, checks requests against the catalogue's limits, passes
// them to the dispatcher, and answers with result codes. (An entry of the catalogue
// is something else: one item of the configuration.)
package entry
