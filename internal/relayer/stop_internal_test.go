package relayer

import (
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/matcher"
	"github.com/wigeonstand/wigeonstand/internal/stopper"
)

// A planned stop that begins as a body has been read looked at the request while it was being changed. The
// race detector shows it.
func TestStopAfterABodyDoesNotReadTheRequest(*testing.T) {
	for range 2000 {
		r := &Relayer{Config: Config{Stop: stopper.New()}, durations: stopper.NewDurations()}
		x := &exchange{Relayer: r, route: &matcher.Route{}, deadline: time.Now().Add(time.Minute)}
		watch := x.watchBody(func() {})
		var work sync.WaitGroup
		work.Go(func() { r.Stop.Begin(time.Minute) })
		runtime.Gosched()
		watch.end()
		for range 20 {
			x.service = "service"
			runtime.Gosched()
		}
		work.Wait()
	}
}
