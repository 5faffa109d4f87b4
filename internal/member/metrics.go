package member

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// counters counts messages, bytes and handling time per topic. Bytes exclude the
// framing of WebSocket, TLS and TCP.
type counters struct {
	set    *metrics.Set
	topics sync.Map // topic -> *topicCounters
}

type topicCounters struct {
	sentMessages, sentBytes         *metrics.Counter
	receivedMessages, receivedBytes *metrics.Counter
	handling                        *metrics.FloatCounter
}

func newCounters() *counters { return &counters{set: metrics.NewSet()} }

// Metrics returns the overlay's metrics, to be registered with /metrics.
func (o *Overlay) Metrics() *metrics.Set { return o.counters.set }

func (c *counters) topic(name string) *topicCounters {
	if t, ok := c.topics.Load(name); ok {
		return t.(*topicCounters)
	}
	counter := func(metric string) *metrics.Counter {
		return c.set.GetOrCreateCounter(fmt.Sprintf(`banyanroute_link_%s_total{topic=%q}`, metric, name))
	}
	t := &topicCounters{
		sentMessages:     counter("sent_messages"),
		sentBytes:        counter("sent_bytes"),
		receivedMessages: counter("received_messages"),
		receivedBytes:    counter("received_bytes"),
		handling: c.set.GetOrCreateFloatCounter(
			fmt.Sprintf(`banyanroute_link_handling_seconds_total{topic=%q}`, name)),
	}
	actual, _ := c.topics.LoadOrStore(name, t)
	return actual.(*topicCounters)
}

func (c *counters) sent(topic string, bytes int) {
	t := c.topic(topic)
	t.sentMessages.Inc()
	t.sentBytes.Add(bytes)
}

func (c *counters) received(topic string, bytes int, handling time.Duration) {
	t := c.topic(topic)
	t.receivedMessages.Inc()
	t.receivedBytes.Add(bytes)
	t.handling.Add(handling.Seconds())
}

// countDropped counts a broadcast that was not handled or not forwarded.
func (c *counters) countDropped(reason string) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`banyanroute_broadcast_dropped_total{reason=%q}`, reason)).Inc()
}

// registerGauges registers the gauges.
func (c *counters) registerGauges(o *Overlay) {
	c.set.NewGauge("banyanroute_members", func() float64 { return float64(len(o.Members())) })
	c.set.NewGauge("banyanroute_overlay_links", func() float64 { return float64(len(o.Neighbours())) })
	c.set.NewGauge("banyanroute_direct_links", func() float64 {
		dialled, accepted := o.direct.count()
		return float64(dialled + accepted)
	})
}

// Traffic is the control traffic of one topic since the start.
type Traffic struct {
	Topic            string  `json:"topic"`
	SentMessages     uint64  `json:"sent_messages"`
	SentBytes        uint64  `json:"sent_bytes"`
	ReceivedMessages uint64  `json:"received_messages"`
	ReceivedBytes    uint64  `json:"received_bytes"`
	HandlingSeconds  float64 `json:"handling_seconds"`
}

// Traffic returns the counts per topic.
func (o *Overlay) Traffic() []Traffic {
	var all []Traffic
	o.counters.topics.Range(func(name, value any) bool {
		t := value.(*topicCounters)
		all = append(all, Traffic{
			Topic:            name.(string),
			SentMessages:     t.sentMessages.Get(),
			SentBytes:        t.sentBytes.Get(),
			ReceivedMessages: t.receivedMessages.Get(),
			ReceivedBytes:    t.receivedBytes.Get(),
			HandlingSeconds:  t.handling.Get(),
		})
		return true
	})
	return all
}
