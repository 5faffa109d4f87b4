package placement

import (
	"fmt"
	"hash/fnv"
	"testing"
	"time"
)

// misleadingHints names a route by class and one of ten workspaces for each request, and
// multiplies the hint of each workspace by a factor between 1/5 and 5.
func misleadingHints(jobs []*simJob, _ time.Time) {
	factors := []float64{0.2, 0.2, 0.4, 0.5, 1, 1, 2, 3, 5, 5}
	for i, j := range jobs {
		h := fnv.New32a()
		fmt.Fprint(h, i)
		w := int(h.Sum32() % 10)
		j.job.Route, j.job.Workspace = fmt.Sprint(j.class), fmt.Sprint(w)
		j.job.Output = max(int(float64(j.job.Output)*factors[w]), 1)
	}
}

func named(jobs []*simJob, _ time.Time) {
	for i, j := range jobs {
		j.job.Route, j.job.Workspace = fmt.Sprint(j.class), fmt.Sprint(i%10)
	}
}

// BenchmarkCostDay reports what days are worth whose hints are off, with and without learning.
func BenchmarkCostDay(b *testing.B) {
	for name, d := range map[string]day{"trinacria": trinacriaDay(1), "trinacria1.4": trinacriaDay(1.4), "large": largeDay(0), "grown": grownDay(1)} {
		for hints, alter := range map[string]func([]*simJob, time.Time){"good": named, "misleading": misleadingHints} {
			for _, learn := range []bool{false, true} {
				b.Run(fmt.Sprintf("%s/%s/learn=%t", name, hints, learn), func(b *testing.B) {
					sum := 0.0
					for i := range b.N {
						d := d
						d.learn, d.alter = learn, alter
						o := d.run(uint64(i))
						sum += o.worth.total()
					}
					b.ReportMetric(sum/float64(b.N), "worth")
				})
			}
		}
	}
}
