package costmodel

// Clone returns a copy for predictions only: it shares the observations of the original and has its
// own order of use.
func (l *Learner) Clone() *Learner {
	c := NewLearner()
	for _, k := range l.groups.Keys() { // the least recently used first
		h, _ := l.groups.Peek(k)
		c.groups.Add(k, h)
	}
	return c
}

// Clone returns a copy for predictions only. Predictions refresh what is derived from the
// observations, so each group is copied; copies holds the copy of each distribution.
func (t *Times) Clone() (c *Times, copies map[*Work]*Work) {
	c, copies = NewTimes(), map[*Work]*Work{}
	for _, k := range t.groups.Keys() {
		g, _ := t.groups.Peek(k)
		copied := *g
		c.groups.Add(k, &copied)
		copies[&g.work] = &copied.work
	}
	return c, copies
}
