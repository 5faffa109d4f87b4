package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
)

// builds draws the build with which an instance starts, so that two run side by side and replace
// each other in both directions.
type builds struct {
	current, previous string

	mu     sync.Mutex
	random *rand.Rand
}

func newBuilds(o options) *builds {
	return &builds{current: o.bin, previous: o.previous, random: rand.New(rand.NewPCG(o.seed, 8))}
}

// draw returns the folder of the program for the next start, and whether it is the previous build.
func (b *builds) draw() (bin string, isPrevious bool) {
	if b.previous == "" {
		return b.current, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.random.IntN(2) == 0 {
		return b.previous, true
	}
	return b.current, false
}

// startProcess starts an instance with a build that is drawn.
func (s *soakRun) startProcess(p *process) error {
	bin, isPrevious := s.builds.draw()
	p.isPrevious.Store(isPrevious)
	if s.options.previous != "" {
		s.report.fault(fmt.Sprintf("%s starts with the previous build: %t", p.name, isPrevious))
	}
	return p.start(bin, s.dir)
}
