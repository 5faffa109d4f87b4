package localfleet

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/gravitational/trace"

	"github.com/banyanroute/banyanroute/internal/platform"
)

// Layout describes a deployment.
type Layout struct {
	// BinDir is the folder with the built programs, WorkDir the folder for
	// settings and logs.
	BinDir, WorkDir string
	// Instances, Engines and Services are numbers of processes.
	Instances, Engines, Services int
	// Model and Service are the names that callers use.
	Model, Service string
	// DataCentres are assigned round robin to the instances, the engines and
	// the services.
	DataCentres []string
	Region      string
	// MemoryTokens is the KV memory of each engine.
	MemoryTokens int
	// EngineFlags are appended to each engine's command line.
	EngineFlags []string
	// Algorithm and ShortWeight are fields of the default policy entry.
	Algorithm   string
	ShortWeight float64
	// InstanceSettings is YAML that is appended to the settings of each instance.
	InstanceSettings string
	// Relays puts a relay with fault switches in front of each upstream and of
	// the platform.
	Relays bool
	// LiveLag is the lag of the live list; zero means the stand-in's default.
	LiveLag time.Duration
}

// Credentials of the local deployment. They are not secret.
const (
	// OperatorToken is the bearer token of the operator.
	OperatorToken = "local-operator-token"
	// AlphaKey is the API key of workspace "alpha", BetaKey that of "beta".
	AlphaKey = "local-alpha-key"
	BetaKey  = "local-beta-key"
	// linkSecret authenticates the links between instances.
	linkSecret = "local-link-secret-0123456789"
	// orderKey signs the orders to engines.
	orderKey = "local-order-key-0123456789"
)

// Instance is one instance process.
type Instance struct {
	*Process
	// CallersAddress, OperatorsAddress and LinksAddress are the addresses of the
	// listeners for callers, operators and other instances.
	CallersAddress, OperatorsAddress, LinksAddress string
	// listing is the instance's entry in the live list.
	listing platform.LiveListEntry
}

// Upstream is one engine or service process.
type Upstream struct {
	*Process
	Address    string
	DataCentre string
	// Relay forwards the connections to the upstream; nil without relays.
	Relay *Relay
	// ExecutionLog is the path of a plain service's log of executions.
	ExecutionLog string
	// service is the name of the service; empty for an engine.
	service string
}

// Relay is one TCP relay process with fault switches.
type Relay struct {
	*Process
	Address string
	// ControlURL is the base URL of the fault switches.
	ControlURL string
}

// dialAddress returns the address that instances dial: the relay's, if any.
func (u *Upstream) dialAddress() string {
	if u.Relay != nil {
		return u.Relay.Address
	}
	return u.Address
}

// Fleet is a running deployment.
type Fleet struct {
	Layout    Layout
	Platform  *Process
	Instances []*Instance
	Engines   []*Upstream
	Services  []*Upstream
	// PlatformURL is the base URL of the stand-in of the platform.
	PlatformURL string
	// PlatformRelay forwards the connections to the platform; nil without
	// relays.
	PlatformRelay *Relay
}

// startTimeout bounds the wait for a process to become ready.
const startTimeout = 20 * time.Second

// maxStartAttempts bounds the attempts to start a deployment. An attempt fails if a
// port that was free when it was chosen is taken before its process listens.
const maxStartAttempts = 3

// Start starts all processes, applies the catalogue and waits until all instances
// are ready. On error it stops the started processes and retries with other ports.
func Start(ctx context.Context, layout Layout) (*Fleet, error) {
	var err error
	for range maxStartAttempts {
		f := &Fleet{Layout: layout}
		if err = f.start(ctx); err == nil {
			return f, nil
		}
		f.Stop()
		if ctx.Err() != nil {
			break
		}
	}
	return nil, trace.Wrap(err)
}

func (f *Fleet) start(ctx context.Context) error {
	if err := os.MkdirAll(f.Layout.WorkDir, 0o755); err != nil {
		return trace.ConvertSystemError(err)
	}
	l := &f.Layout
	addresses, err := freeAddresses(1 + l.Engines + l.Services + 3*l.Instances)
	if err != nil {
		return err
	}
	if err := f.startPlatform(ctx, addresses[0]); err != nil {
		return err
	}
	if err := f.startUpstreams(ctx, addresses[1:1+l.Engines+l.Services]); err != nil {
		return err
	}
	if err := f.startRelays(ctx); err != nil {
		return err
	}
	if err := f.startInstances(ctx, addresses[1+l.Engines+l.Services:]); err != nil {
		return err
	}
	if err := f.applyCatalogue(ctx); err != nil {
		return err
	}
	for _, in := range f.Instances {
		if err := WaitOK(ctx, "http://"+in.OperatorsAddress+"/readyz"); err != nil {
			return trace.Wrap(err, "starting instance %s", in.Name)
		}
	}
	return f.waitCatalogue(ctx)
}

func (f *Fleet) startPlatform(ctx context.Context, address string) error {
	args := []string{"platform", "--listen", address}
	if f.Layout.LiveLag > 0 {
		args = append(args, "--live-lag", f.Layout.LiveLag.String())
	}
	f.Platform = newProcess(f.Layout.WorkDir, "platform", f.bin("banyanstandin"), args...)
	f.PlatformURL = "http://" + address
	if err := f.Platform.Start(); err != nil {
		return err
	}
	return WaitOK(ctx, f.PlatformURL+"/live")
}

func (f *Fleet) bin(name string) string { return filepath.Join(f.Layout.BinDir, name) }

// dataCentre returns the data centre of the i-th process of a kind.
func (f *Fleet) dataCentre(i int) string { return f.Layout.DataCentres[i%len(f.Layout.DataCentres)] }

func (f *Fleet) startUpstreams(ctx context.Context, addresses []string) error {
	for i := range f.Layout.Engines {
		name := fmt.Sprintf("engine-%d", i+1)
		args := append([]string{"engine", "--listen", addresses[i], "--name", name, "--models", f.Layout.Model + ":v1",
			"--memory-tokens", fmt.Sprint(f.Layout.MemoryTokens)}, f.Layout.EngineFlags...)
		f.Engines = append(f.Engines, f.upstream(name, addresses[i], "", i, args))
	}
	for i := range f.Layout.Services {
		name := fmt.Sprintf("%s-%d", f.Layout.Service, i+1)
		address := addresses[f.Layout.Engines+i]
		executionLog := filepath.Join(f.Layout.WorkDir, name+".journal")
		args := []string{"service", "--listen", address, "--name", name, "--journal", executionLog}
		up := f.upstream(name, address, f.Layout.Service, i, args)
		up.ExecutionLog = executionLog
		f.Services = append(f.Services, up)
	}
	for _, up := range f.Upstreams() {
		if err := up.Start(); err != nil {
			return err
		}
	}
	for _, up := range f.Upstreams() {
		if err := WaitOK(ctx, "http://"+up.Address+"/health"); err != nil {
			return trace.Wrap(err, "starting upstream %s", up.Name)
		}
		if err := f.SetListed(ctx, platform.LiveListEntry{ID: up.Name, Role: "upstream", Address: up.Address, DataCentre: up.DataCentre, Region: f.Layout.Region, Phase: platform.Live}); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) upstream(name, address, service string, i int, args []string) *Upstream {
	return &Upstream{
		Process:    newProcess(f.Layout.WorkDir, name, f.bin("banyanstandin"), args...),
		Address:    address,
		DataCentre: f.dataCentre(i),
		service:    service,
	}
}

// Upstreams returns the engines and the services.
func (f *Fleet) Upstreams() []*Upstream {
	return append(append([]*Upstream(nil), f.Engines...), f.Services...)
}

func (f *Fleet) startInstances(ctx context.Context, addresses []string) error {
	for i := range f.Layout.Instances {
		in, err := f.newInstance(i, addresses[3*i:3*i+3])
		if err != nil {
			return err
		}
		f.Instances = append(f.Instances, in)
		if err := in.Start(); err != nil {
			return err
		}
		if err := f.SetListed(ctx, in.listing); err != nil {
			return err
		}
	}
	for _, in := range f.Instances {
		if err := WaitOK(ctx, "http://"+in.OperatorsAddress+"/healthz"); err != nil {
			return trace.Wrap(err, "starting instance %s", in.Name)
		}
	}
	return nil
}

// newInstance writes the settings of the i-th instance and returns its process.
func (f *Fleet) newInstance(i int, addresses []string) (*Instance, error) {
	name := fmt.Sprintf("i%d", i+1)
	in := &Instance{CallersAddress: addresses[0], OperatorsAddress: addresses[1], LinksAddress: addresses[2]}
	in.listing = platform.LiveListEntry{ID: name, Role: "instance", Address: in.LinksAddress, DataCentre: f.dataCentre(i), Region: f.Layout.Region, Phase: platform.Live}
	text := fmt.Sprintf(`instance: %s
region: %s
data_centre: %s
listen:
  callers: {address: "%s"}
  operators: {address: "%s"}
  links: {address: "%s"}
platform:
  url: %s
secrets:
  links: %s
  orders: %s
  bootstrap_token_sha256: %s
%s
`, name, f.Layout.Region, f.dataCentre(i), in.CallersAddress, in.OperatorsAddress, in.LinksAddress, f.platformDialURL(), linkSecret, orderKey, sha256Hex(OperatorToken), f.Layout.InstanceSettings)
	file := filepath.Join(f.Layout.WorkDir, name+".yaml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	in.Process = newProcess(f.Layout.WorkDir, name, f.bin("banyanrouted"), "--config", file)
	return in, nil
}

func sha256Hex(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// SetListed adds or replaces an entry of the platform's live list.
func (f *Fleet) SetListed(ctx context.Context, entry platform.LiveListEntry) error {
	return Send(ctx, http.MethodPut, f.PlatformURL+"/standin/live/"+entry.ID, entry)
}

// RemoveListed removes an entry of the platform's live list.
func (f *Fleet) RemoveListed(ctx context.Context, id string) error {
	return Send(ctx, http.MethodDelete, f.PlatformURL+"/standin/live/"+id, nil)
}

// Stop kills all processes of the deployment.
func (f *Fleet) Stop() {
	for _, in := range f.Instances {
		in.Kill()
	}
	for _, up := range f.Upstreams() {
		up.Kill()
	}
	for _, r := range f.relays() {
		r.Kill()
	}
	if f.Platform != nil {
		f.Platform.Kill()
	}
}

// Ctl runs banyanctl against an instance and returns its output.
func (f *Fleet) Ctl(ctx context.Context, instance int, args ...string) (string, error) {
	base := []string{"--address", "http://" + f.Instances[instance].OperatorsAddress, "--token", OperatorToken}
	out, err := exec.CommandContext(ctx, f.bin("banyanctl"), append(base, args...)...).CombinedOutput()
	if err != nil {
		return string(out), trace.Wrap(err, "running banyanctl %v: %s", args, out)
	}
	return string(out), nil
}

// Send sends a request with a JSON body, if body isn't nil, and checks that the
// status is 2xx.
func Send(ctx context.Context, method, url string, body any) error {
	var payload bytes.Buffer
	if body != nil {
		if err := json.NewEncoder(&payload).Encode(body); err != nil {
			return trace.Wrap(err)
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, url, &payload)
	if err != nil {
		return trace.Wrap(err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return trace.Wrap(err)
	}
	res.Body.Close()
	if res.StatusCode/100 != 2 {
		return trace.BadParameter("%s %s answered with status %d", method, url, res.StatusCode)
	}
	return nil
}

// Fetch decodes the JSON answer to a GET of url into out.
func Fetch(ctx context.Context, url string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return trace.Wrap(err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return trace.Wrap(err)
	}
	defer res.Body.Close()
	return trace.Wrap(json.NewDecoder(res.Body).Decode(out))
}

// probeInterval is the time between two probes of a starting process.
const probeInterval = 50 * time.Millisecond

// WaitOK waits until a GET of url is answered with a 2xx status.
func WaitOK(ctx context.Context, url string) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		err := Send(ctx, http.MethodGet, url, nil)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return trace.Wrap(err, "waiting for %s", url)
		case <-time.After(probeInterval):
		}
	}
}
