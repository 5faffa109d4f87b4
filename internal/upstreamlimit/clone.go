package upstreamlimit

import "time"

// Clone returns a copy of the table.
func (t *Table) Clone() *Table {
	c := NewTable()
	for k, l := range t.limits {
		copied := *l
		c.limits[k] = &copied
	}
	for k, p := range t.pauses {
		copied := *p
		c.pauses[k] = &copied
	}
	return c
}

// Clone returns a copy of the table without the upstreams that are cold no longer, so that the
// end of their countdowns is logged once only, by the original.
func (t *ColdTable) Clone(now time.Time) *ColdTable {
	c := NewColdTable()
	c.Bounds = t.Bounds
	for k, s := range t.states {
		if s.until.After(now) {
			copied := *s
			c.states[k] = &copied
		}
	}
	return c
}
