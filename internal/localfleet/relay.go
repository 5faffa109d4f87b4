package localfleet

import (
	"context"
	"strings"
)

// startRelays starts a relay for each upstream and for the platform, if
// Layout.Relays is set.
func (f *Fleet) startRelays(ctx context.Context) error {
	if !f.Layout.Relays {
		return nil
	}
	for _, up := range f.Upstreams() {
		relay, err := f.startRelay(ctx, up.Name, up.Address)
		if err != nil {
			return err
		}
		up.Relay = relay
	}
	relay, err := f.startRelay(ctx, "platform", strings.TrimPrefix(f.PlatformURL, "http://"))
	f.PlatformRelay = relay
	return err
}

func (f *Fleet) startRelay(ctx context.Context, name, target string) (*Relay, error) {
	addresses, err := freeAddresses(2)
	if err != nil {
		return nil, err
	}
	r := &Relay{Address: addresses[0], ControlURL: "http://" + addresses[1]}
	r.Process = newProcess(f.Layout.WorkDir, name+"-relay", f.bin("banyanstandin"),
		"relay", "--listen", addresses[0], "--to", target, "--control", addresses[1])
	if err := r.Start(); err != nil {
		return nil, err
	}
	return r, WaitOK(ctx, r.ControlURL+"/standin/faults")
}

// relays returns all relays.
func (f *Fleet) relays() []*Relay {
	var out []*Relay
	for _, up := range f.Upstreams() {
		if up.Relay != nil {
			out = append(out, up.Relay)
		}
	}
	if f.PlatformRelay != nil {
		out = append(out, f.PlatformRelay)
	}
	return out
}

// platformDialURL returns the base URL of the platform for instances: the relay's,
// if any.
func (f *Fleet) platformDialURL() string {
	if f.PlatformRelay != nil {
		return "http://" + f.PlatformRelay.Address
	}
	return f.PlatformURL
}
