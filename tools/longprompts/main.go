// Command longprompts measures the memory of one instance while several prompts of a
// million tokens pass through it at the same time.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/banyanroute/banyanroute/internal/localfleet"
)

// bytesPerToken is the number of bytes per token that the router assumes.
const bytesPerToken = 4

func main() {
	bin := flag.String("bin", "bin", "folder with the built programs")
	prompts := flag.Int("prompts", 8, "number of prompts at the same time")
	tokens := flag.Int("tokens", 1_000_000, "length of each prompt in tokens")
	flag.Parse()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	defer cancel()
	if err := measure(ctx, *bin, *prompts, *tokens); err != nil {
		fmt.Fprintln(os.Stderr, "longprompts:", trace.UserMessage(err))
		cancel()
		os.Exit(1) //nolint:gocritic // cancel was called
	}
}

// measure sends the prompts through one instance and prints its memory.
func measure(ctx context.Context, bin string, prompts, tokens int) error {
	dir, err := os.MkdirTemp("", "banyanroute-long-")
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer os.RemoveAll(dir)
	fleet, err := localfleet.Start(ctx, localfleet.Layout{
		BinDir: bin, WorkDir: dir, Instances: 1, Engines: 4, Model: "tutor-llm", Service: "none",
		DataCentres: []string{"palermo"}, Region: "sicilia", MemoryTokens: 3 * tokens,
		EngineFlags: []string{"--time-scale", "20"}, Algorithm: "banyan", ShortWeight: 0.5,
	})
	if err != nil {
		return err
	}
	defer fleet.Stop()
	in := fleet.Instances[0]
	fmt.Printf("before: %s\n", memory(in.PID()))
	results := sendAll(ctx, in.CallersAddress, prompts, tokens)
	fmt.Printf("%d prompts of %d tokens (%d bytes each): %s\n", prompts, tokens, tokens*bytesPerToken, results)
	fmt.Printf("after: %s\n", memory(in.PID()))
	return nil
}

// sendAll sends all prompts concurrently and counts the answers by status.
func sendAll(ctx context.Context, address string, prompts, tokens int) string {
	body := `{"model":"tutor-llm","max_tokens":4,"messages":[{"role":"user","content":"` +
		strings.Repeat("logbook ", tokens*bytesPerToken/len("logbook ")) + `"}]}`
	counts := map[string]int{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for range prompts {
		wg.Go(func() {
			status := send(ctx, address, body)
			mu.Lock()
			defer mu.Unlock()
			counts[status]++
		})
	}
	wg.Wait()
	return fmt.Sprint(counts)
}

func send(ctx context.Context, address, body string) string {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return err.Error()
	}
	req.Header.Set("Authorization", "Bearer "+localfleet.AlphaKey)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return "connection failed"
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return "answer interrupted"
	}
	return res.Status
}

// memory returns the current and the peak resident memory of a process.
func memory(pid int) string {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return err.Error()
	}
	var out []string
	for _, line := range strings.Split(string(data), "\n") {
		if strings.HasPrefix(line, "VmRSS") || strings.HasPrefix(line, "VmHWM") {
			out = append(out, strings.Join(strings.Fields(line), " "))
		}
	}
	return strings.Join(out, ", ")
}
