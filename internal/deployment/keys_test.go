package deployment

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/banyanroute/banyanroute/internal/wire"
)

// TestRelayedConfigurationKeepsItsCheckOfKeys guards against an empty set of API keys, of which none is
// valid, becoming an absent one, with which no request needs a key, on the way through a relay.
func TestRelayedConfigurationKeepsItsCheckOfKeys(t *testing.T) {
	relayed := map[string]func(u Update) (Update, error){
		"plain": func(u Update) (Update, error) {
			data, err := cbor.Marshal(followAnswer{News: &u})
			if err != nil {
				return Update{}, err
			}
			var a followAnswer
			err = wire.Unmarshal(data, &a, "relay")
			return *a.News, err
		},
		"packed": func(u Update) (Update, error) {
			data, err := pack(u)
			if err != nil {
				return Update{}, err
			}
			return unpack(data, "relay")
		},
	}
	for name, relay := range relayed {
		for _, keys := range []map[string]Workspace{nil, {}, {"k": {Name: "w"}}} {
			u, err := relay(Update{Config: &Configuration{Version: 1, Keys: keys}})
			if err != nil || (u.Config.Keys == nil) != (keys == nil) || len(u.Config.Keys) != len(keys) {
				t.Errorf("%s: keys %#v arrive as %#v, %v", name, keys, u.Config, err)
			}
		}
	}
}

// TestOnlyKnownKeysNameAWorkspace guards against requests that run without a valid key, on routes that
// need one and on public ones.
func TestOnlyKnownKeysNameAWorkspace(t *testing.T) {
	held := Workspace{Name: "w", Priority: 2}
	for _, c := range []struct {
		name   string
		keys   map[string]Workspace
		public bool
		key    string
		want   string
		denied bool
	}{
		{"no workspaces", nil, false, "k", "", false},
		{"no valid key", map[string]Workspace{}, false, "k", "", true},
		{"no valid key, no key sent", map[string]Workspace{}, false, "", "", true},
		{"no valid key, public route", map[string]Workspace{}, true, "k", "", false},
		{"another key", map[string]Workspace{"k": held}, false, "x", "", true},
		{"the key", map[string]Workspace{"k": held}, false, "k", "w", false},
		{"the key, public route", map[string]Workspace{"k": held}, true, "k", "w", false},
		{"an empty key is held, no key sent", map[string]Workspace{"": held}, false, "", "", true},
		{"an empty key is held, public route", map[string]Workspace{"": held}, true, "", "", false},
	} {
		w, err := (&Configuration{Keys: c.keys}).WorkspaceOf(&Route{Public: c.public}, c.key)
		if w.Name != c.want || (err != nil) != c.denied || c.want == "" && !c.denied && w.Priority != NoPriority {
			t.Errorf("%s: got %+v, %v", c.name, w, err)
		}
	}
}

// TestRelayDoesNotLiftTheCheckOfKeys guards against an instance that lets every key in because its relay,
// of a build that reads an empty list of workspaces like none, passes on a configuration without keys. The
// store says which of both it is.
func TestRelayDoesNotLiftTheCheckOfKeys(t *testing.T) {
	for _, stored := range []map[string]Workspace{{}, nil} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			active := &Configuration{Version: 1, Keys: map[string]Workspace{"k": {Name: "w"}}}
			states, _, sources := relayAndFollower(ctx, oneInstance, Update{Complete: true, Revision: rev(1), Changed: rev(1), Config: active})
			time.Sleep(5 * time.Second)
			sources[1].changes <- Update{Revision: rev(2), Changed: rev(2), Config: &Configuration{Version: 2, Keys: stored}}
			sources[0].changes <- Update{Revision: rev(2), Changed: rev(2), Config: &Configuration{Version: 2}}
			time.Sleep(time.Second)
			if c := states[1].View().Config; c.Version != 2 || (c.Keys == nil) != (stored == nil) {
				t.Errorf("the store holds keys %#v, the follower uses version %d with %#v", stored, c.Version, c.Keys)
			}
			cancel()
			time.Sleep(time.Minute)
		})
	}
}
