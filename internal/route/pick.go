package route

// Picker chooses one candidate of a view, or nil if none passes the filter.
type Picker interface {
	Pick(v View, d *Demand, pass Filter, score Scorer, random Random) *Candidate
}

// Best takes the lowest score of all candidates; equal scores are broken by
// where the scan begins.
type Best struct{}

// Pick implements Picker.
func (Best) Pick(v View, d *Demand, pass Filter, score Scorer, random Random) *Candidate {
	if len(v) == 0 {
		return nil
	}
	var best *Candidate
	var lowest float64
	start := random.IntN(len(v))
	for i := range v {
		c := v[(start+i)%len(v)]
		if !pass(c, d) {
			continue
		}
		if s := score(c, d); best == nil || s < lowest {
			best, lowest = c, s
		}
	}
	return best
}

// Sample takes the lowest score of Choices candidates drawn at random and of
// those that cache a prefix. If none of them passes, it takes the first that
// passes in a bounded scan from a random place.
type Sample struct {
	// Choices is the number of random draws.
	Choices int
}

// Pick implements Picker.
func (p Sample) Pick(v View, d *Demand, pass Filter, score Scorer, random Random) *Candidate {
	if len(v) == 0 {
		return nil
	}
	if len(v) <= p.Choices {
		return Best{}.Pick(v, d, pass, score, random)
	}
	var best *Candidate
	var lowest float64
	consider := func(c *Candidate) {
		if !pass(c, d) {
			return
		}
		if s := score(c, d); best == nil || s < lowest {
			best, lowest = c, s
		}
	}
	for i := range d.Holders {
		consider(d.Holders[i].Candidate)
	}
	for range p.Choices {
		consider(v[random.IntN(len(v))])
	}
	if best != nil {
		return best
	}
	return firstPassing(v, d, pass, random)
}

// maxScan bounds the candidates of one scan, so that a decision takes no longer
// in a large fleet. A request that waits is tried again soon, from another place.
const maxScan = 256

// firstPassing returns the first candidate that passes in a scan of up to
// maxScan candidates from a random place.
func firstPassing(v View, d *Demand, pass Filter, random Random) *Candidate {
	start := random.IntN(len(v))
	for i := range min(len(v), maxScan) {
		if c := v[(start+i)%len(v)]; pass(c, d) {
			return c
		}
	}
	return nil
}

// RoundRobin takes the candidates in turn; Turn is the number of the request.
type RoundRobin struct {
	Turn int
}

// Pick implements Picker.
func (p RoundRobin) Pick(v View, d *Demand, pass Filter, _ Scorer, _ Random) *Candidate {
	for i := range v {
		if c := v[(p.Turn+i)%len(v)]; pass(c, d) {
			return c
		}
	}
	return nil
}
