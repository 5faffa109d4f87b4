package stand

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRunTime ends a case that hangs; the limit of the issue is 120 s.
const maxRunTime = 112 * time.Second

// cases are the drivers by the number of their folder.
var cases = map[int]func(*run) bool{}

// TestMain runs one case instead of tests: it exits with 1 if the rule was broken, 0 if it held
// and 2 if the case could not run.
func TestMain(_ *testing.M) {
	number := flag.Int("case", 0, "number of the case")
	dir := flag.String("dir", "", "folder of the case, for record.txt")
	root := flag.String("root", "", "root of the repository, with target/")
	flag.Parse()
	drive := cases[*number]
	if drive == nil || *dir == "" || *root == "" {
		fmt.Fprintln(os.Stderr, "usage: -case N -dir FOLDER -root REPOSITORY")
		os.Exit(exitNotRun)
	}
	r, err := newRun(*dir, *root)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() { r.giveUp("ended by a signal: %s", <-ended) }()
	time.AfterFunc(maxRunTime, func() { r.giveUp("the case took longer than %s", maxRunTime) })
	broken := drive(r)
	r.close()
	if broken {
		os.Exit(exitBroken)
	}
	os.Exit(exitHeld)
}

// run is one run of a case.
type run struct {
	root    string
	temp    string
	record  *os.File
	started time.Time
	// trouble is whether the disruption takes place, mode selects a variant of the case.
	trouble  bool
	mode     string
	lock     chan struct{}
	store    *store
	machines []*machine
	sent     map[string]*request
}

func newRun(dir, root string) (*run, error) {
	temp, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	r := &run{
		root: root, temp: temp, record: file, started: time.Now(),
		trouble: os.Getenv("TROUBLE") != "0", mode: os.Getenv("MODE"),
		lock: make(chan struct{}, 1), sent: map[string]*request{},
	}
	r.store, err = newStore(r)
	if err != nil {
		return nil, err
	}
	r.note("case starts: trouble %t, mode %q", r.trouble, r.mode)
	return r, nil
}

// do runs f while no other function runs.
func (r *run) do(f func()) {
	r.lock <- struct{}{}
	defer func() { <-r.lock }()
	f()
}

// note writes a line with the time since the start to record.txt.
func (r *run) note(format string, args ...any) {
	line := fmt.Sprintf("%8.3f  ", time.Since(r.started).Seconds()) + fmt.Sprintf(format, args...)
	r.do(func() { fmt.Fprintln(r.record, line) })
}

// giveUp ends a case that cannot run.
func (r *run) giveUp(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.note("NOT RUN: %s", text)
	fmt.Fprintln(os.Stderr, "not run:", text)
	r.close()
	os.Exit(exitNotRun)
}

// verdict writes the result of the check to record.txt and to standard output.
func (r *run) verdict(broken bool, format string, args ...any) bool {
	text := map[bool]string{true: "BROKEN", false: "HELD"}[broken] + ": " + fmt.Sprintf(format, args...)
	r.note("%s", text)
	fmt.Println(text)
	return broken
}

// close ends all processes and removes the temporary folder.
func (r *run) close() {
	for _, m := range r.machines {
		m.kill()
	}
	_ = os.RemoveAll(r.temp)
}
