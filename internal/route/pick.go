package route

// Picker chooses one candidate of a view, or nil if none passes the filter.
type Picker interface {
	Pick(v View, d *Demand, filter Filter, score Scorer, random Random) *Candidate
}

// Best picks the candidate with the lowest score of all. Of candidates with equal
// scores it picks the first in a scan from a random position.
type Best struct{}

// Pick implements Picker.
func (Best) Pick(v View, d *Demand, filter Filter, score Scorer, random Random) *Candidate {
	if len(v) == 0 {
		return nil
	}
	var best *Candidate
	var lowest float64
	start := random.IntN(len(v))
	for i := range v {
		c := v[(start+i)%len(v)]
		if !filter(c, d) {
			continue
		}
		if s := score(c, d); best == nil || s < lowest {
			best, lowest = c, s
		}
	}
	return best
}

// Sample picks the candidate with the lowest score among Choices candidates drawn
// at random and those that cache a prefix. If none of them passes the filter, it
// picks the first that passes in a bounded scan from a random position.
type Sample struct {
	// Choices is the number of random draws.
	Choices int
}

// Pick implements Picker.
func (p Sample) Pick(v View, d *Demand, filter Filter, score Scorer, random Random) *Candidate {
	if len(v) == 0 {
		return nil
	}
	if len(v) <= p.Choices {
		return Best{}.Pick(v, d, filter, score, random)
	}
	var best *Candidate
	var lowest float64
	consider := func(c *Candidate) {
		if !filter(c, d) {
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
	return firstPassing(v, d, filter, random)
}

// maxScan bounds the candidates of one scan, so that a decision does not take
// longer in a large fleet. A request that has to wait is retried soon, from
// another position.
const maxScan = 256

// firstPassing returns the first candidate that passes the filter in a scan of up
// to maxScan candidates from a random position, or nil.
func firstPassing(v View, d *Demand, filter Filter, random Random) *Candidate {
	start := random.IntN(len(v))
	for i := range min(len(v), maxScan) {
		if c := v[(start+i)%len(v)]; filter(c, d) {
			return c
		}
	}
	return nil
}

// RoundRobin picks the first candidate that passes the filter in a scan from
// position Turn.
type RoundRobin struct {
	// Turn is the number of the request. Positions wrap around.
	Turn int
}

// Pick implements Picker.
func (p RoundRobin) Pick(v View, d *Demand, filter Filter, _ Scorer, _ Random) *Candidate {
	for i := range v {
		if c := v[(p.Turn+i)%len(v)]; filter(c, d) {
			return c
		}
	}
	return nil
}
