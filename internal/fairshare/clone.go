package fairshare

// Clone returns a copy of the account.
func (a *Account) Clone() *Account {
	c := *a
	c.entries = make(map[string]*entry, len(a.entries))
	for name, e := range a.entries {
		copied := *e
		c.entries[name] = &copied
	}
	return &c
}
