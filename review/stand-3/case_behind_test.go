package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

func init() { cases["behind"] = behind }

// Times of the case behind. It plays up to so many rounds and ends with the first that breaks the rule.
const (
	outage  = 4800 * time.Millisecond
	partial = 9 * time.Second
	apply   = 2 * time.Second
	stable  = 3 * time.Second
	rounds  = 3
)

// behind has the platform's store turn all machines away for a time, and the two machines that follow it for the
// others for longer. The configuration changes when the store serves the others again.
func behind(w *world) int {
	w.configure(3, routes())
	for _, zone := range []string{"palermo", "catania", "trapani"} {
		w.addEngine(plainService, zone, 6, false)
		w.addEngine(llmService, zone, 16, true)
	}
	feeds := make([]atomic.Int64, 6)
	for i, zone := range []string{"palermo", "palermo", "palermo", "catania", "trapani", "trapani"} {
		n := w.addNode(zone)
		n.gate.refuseWith(func(r *http.Request) int {
			if strings.HasSuffix(r.URL.Path, "/rows-feed") {
				feeds[i].Add(1)
			}
			return 0
		})
	}
	if !w.startAll() {
		return couldNot
	}
	for i := range feeds {
		feeds[i].Store(0)
	}
	time.Sleep(3 * time.Second)
	var followers, others []*node
	for i, n := range w.nodes {
		if feeds[i].Load() > 0 {
			followers = append(followers, n)
		} else {
			others = append(others, n)
		}
	}
	w.log("%d machines follow the store", len(followers))
	if len(followers) != 2 {
		return couldNot
	}
	for round := range rounds {
		if w.behindRound(followers, others, round) > 0 {
			return broken
		}
		time.Sleep(partial)
	}
	return held
}

// behindRound plays one outage and returns how many requests were handled as only an older version allows.
func (w *world) behindRound(followers, others []*node, round int) int {
	away := func(*http.Request) int { return http.StatusServiceUnavailable }
	began := time.Now()
	if w.trouble {
		w.log("the store turns all machines away")
		for _, n := range w.nodes {
			n.gate.refuseWith(away)
		}
	}
	time.Sleep(time.Until(began.Add(outage)))
	w.log("the store serves all machines but %s and %s", followers[0].name, followers[1].name)
	for _, n := range others {
		n.gate.refuseWith(nil)
	}
	back := time.Now()
	time.AfterFunc(time.Until(began.Add(outage+partial)), func() {
		for _, n := range followers {
			n.gate.refuseWith(nil)
		}
	})
	added := fmt.Sprintf("/added%d/", round)
	w.configure(5+2*round, append(routes(), route("added", added, "safe", plainService, 2500, 150, nil)))
	acked := time.Now()
	late := 0
	time.Sleep(time.Until(back.Add(stable + 50*time.Millisecond))) // a quiet time: requests that are placed carry the news
	for time.Since(back) < 8*time.Second {
		for _, n := range others {
			sent := time.Now()
			a := n.send(request{method: "GET", path: added + "2f", key: key, deadline: 2500 * time.Millisecond})
			if a.status == http.StatusNotFound && sent.Sub(acked) > apply && sent.Sub(back) > stable {
				w.log("%s refuses %s as only an older version does, %s after the acknowledgement, %s after the store was back for it", n.name, a.attempt, sent.Sub(acked), sent.Sub(back))
				late++
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	w.log("%d requests were handled as only an older version allows", late)
	return late
}
