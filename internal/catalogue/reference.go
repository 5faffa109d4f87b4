package catalogue

import "fmt"

// checkReferences verifies the rules between entries: every referenced model
// and service exists, and keys, tokens and URLs are unique.
func checkReferences(s *Snapshot) error {
	c := referenceChecker{snapshot: s, hashes: map[string]Key{}, urls: map[string]Key{}}
	for _, e := range s.entries[KindWorkspace] {
		c.workspace(e)
	}
	for _, e := range s.entries[KindOperator] {
		c.unique(c.hashes, e.Operator.TokenSHA256, e.Key(), "operator.token_sha256")
	}
	for _, e := range s.entries[KindUpstream] {
		c.upstream(e)
	}
	return c.errs.orNil()
}

// referenceChecker collects the errors of one snapshot.
type referenceChecker struct {
	snapshot *Snapshot
	hashes   map[string]Key
	urls     map[string]Key
	errs     FieldErrors
}

func (c *referenceChecker) workspace(e *Entry) {
	for i, hash := range e.Workspace.KeySHA256 {
		c.unique(c.hashes, hash, e.Key(), fmt.Sprintf("workspace.key_sha256[%d]", i))
	}
	for i, model := range e.Workspace.Models {
		c.exists(e.Key(), fmt.Sprintf("workspace.models[%d]", i), Key{KindModel, model})
	}
	for i, service := range e.Workspace.Services {
		c.exists(e.Key(), fmt.Sprintf("workspace.services[%d]", i), Key{KindService, service})
	}
}

func (c *referenceChecker) upstream(e *Entry) {
	c.unique(c.urls, e.Upstream.URL, e.Key(), "upstream.url")
	for i, model := range e.Upstream.Models {
		c.exists(e.Key(), fmt.Sprintf("upstream.models[%d]", i), Key{KindModel, model})
	}
	if e.Upstream.Service != "" {
		c.exists(e.Key(), "upstream.service", Key{KindService, e.Upstream.Service})
	}
}

func (c *referenceChecker) exists(from Key, field string, to Key) {
	if to.Name == All || c.snapshot.records[to] != nil {
		return
	}
	c.errs = append(c.errs, FieldError{Entry: from, Field: field, Problem: fmt.Sprintf("the catalogue has no %s", to)})
}

func (c *referenceChecker) unique(seen map[string]Key, value string, key Key, field string) {
	if other, ok := seen[value]; ok {
		c.errs = append(c.errs, FieldError{Entry: key, Field: field, Problem: fmt.Sprintf("the same value is in %s; it must be unique", other)})
		return
	}
	seen[value] = key
}
