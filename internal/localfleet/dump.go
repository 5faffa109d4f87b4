package localfleet

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/gravitational/trace"
)

// Dump decodes the state dump of an instance into out.
func (f *Fleet) Dump(ctx context.Context, instance int, out any) error {
	url := "http://" + f.Instances[instance].OperatorsAddress + "/v1/dump"
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return trace.Wrap(err)
	}
	req.Header.Set("Authorization", "Bearer "+OperatorToken)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return trace.Wrap(err)
	}
	defer res.Body.Close()
	return trace.Wrap(json.NewDecoder(res.Body).Decode(out))
}
