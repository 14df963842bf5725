package discoverer

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkRanking measures what a permit costs each of the two instances that take part,
// at the target's size.
func BenchmarkRanking(b *testing.B) {
	d := New(Member{Instance: "entry-0", Cores: 0.8}, nil)
	for i := 1; i < 360; i++ {
		m := Member{Instance: fmt.Sprint("entry-", i), Cores: 0.2 + float64(i%4)/5, Interval: 20 * time.Second}
		d.members[m.Instance] = &memberState{Member: m, unchangedSince: time.Now()}
	}
	for i := 0; b.Loop(); i++ {
		d.Ranking(fmt.Sprint("endpoint-", i%1400), 2)
	}
}
