// Command cireport reads the output of "go test -json" and prints the failures and a
// last line "N passed, N failed". Failures of tests listed as known are printed but
// do not fail the run.
package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
)

// event is one line of the output of "go test -json".
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// report counts results and stores the output of each test until it passes.
type report struct {
	// known maps the listed tests to the rest of their line.
	known map[string]string
	// output holds the lines of each test that has not passed. Those of a failed
	// test are replaced by the single line "failed".
	output map[string][]string
	passed int
	failed int
	// knownFailures lists the known tests that failed.
	knownFailures []string
}

func main() {
	knownFile := flag.String("known", "", "file that lists tests known to fail")
	flag.Parse()
	known, err := readKnown(*knownFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, "cireport:", err)
		os.Exit(2)
	}
	r := &report{known: known, output: map[string][]string{}}
	if err := r.read(os.Stdin); err != nil {
		fmt.Fprintln(os.Stderr, "cireport:", err)
		os.Exit(2)
	}
	for _, name := range r.knownFailures {
		fmt.Printf("known red: %s: %s\n", name, known[name])
	}
	fmt.Printf("%d passed, %d failed\n", r.passed, r.failed)
	if r.failed > 0 || r.passed == 0 {
		os.Exit(1)
	}
}

// readKnown maps each listed test, as "package.Test", to the rest of its line. Lines
// have the form "package.Test | command and seed | seen | issue".
func readKnown(path string) (map[string]string, error) {
	known := map[string]string{}
	if path == "" {
		return known, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	for _, line := range strings.Split(string(data), "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		name, rest, _ := strings.Cut(line, "|")
		known[strings.TrimSpace(name)] = strings.TrimSpace(rest)
	}
	return known, nil
}

// maxLineBytes bounds one line of test output.
const maxLineBytes = 4 << 20

func (r *report) read(in io.Reader) error {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		var e event
		if err := json.Unmarshal(scanner.Bytes(), &e); err != nil {
			fmt.Println(scanner.Text())
			continue
		}
		r.add(e)
	}
	return scanner.Err()
}

// add processes one event. A package that fails without a failed test, because of a
// build error or a panic outside tests, counts as one failure.
func (r *report) add(e event) {
	name := e.Package + "." + e.Test
	switch e.Action {
	case "output", "build-output":
		r.output[name] = append(r.output[name], e.Output)
	case "pass":
		r.pass(e, name)
	case "fail":
		r.fail(e, name)
	}
}

func (r *report) pass(e event, name string) {
	if e.Test != "" {
		r.passed++
	} else {
		fmt.Printf("ok   %s\n", e.Package)
	}
	delete(r.output, name)
}

func (r *report) fail(e event, name string) {
	if e.Test == "" && r.hasFailure(e.Package) {
		fmt.Printf("FAIL %s\n", e.Package)
		return
	}
	if _, ok := r.known[name]; ok {
		r.knownFailures = append(r.knownFailures, name)
	} else {
		r.failed++
	}
	fmt.Printf("FAIL %s\n%s", name, strings.Join(r.output[name], ""))
	r.output[name] = []string{"failed"}
}

// hasFailure reports whether a test of the package has failed.
func (r *report) hasFailure(pkg string) bool {
	for name, lines := range r.output {
		if strings.HasPrefix(name, pkg+".Test") && len(lines) == 1 && lines[0] == "failed" {
			return true
		}
	}
	return false
}
