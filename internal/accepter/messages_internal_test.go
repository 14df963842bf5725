package accepter

import (
	"errors"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/logger"
)

// collectionTime is how long a lateCollector takes.
const collectionTime = 30 * time.Millisecond

// lateCollector collects memory some time after it has become unreachable.
type lateCollector struct{}

func (lateCollector) collect() { time.Sleep(collectionTime) }

func (lateCollector) notify(done func()) { time.AfterFunc(collectionTime, done) }

// Crowds of connections with long messages took the memory of each demand that had waited for a fifth of a
// second, also while connections that were closed for others had not ended: on a busy host without a limit.
// The buffers of those that had ended did not count until they were collected.
func TestMessagesStayWithinTheBudget(t *testing.T) {
	for name, delay := range map[string]time.Duration{"ends at once": 0, "ends late": time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const count, messageBytes, size = 60, 1 << 20, 8 << 20
				b := NewBudget(size, logger.Discard())
				b.collector = lateCollector{}
				var mu sync.Mutex
				held, most := int64(0), int64(0)
				hold := func(bytes int64) {
					mu.Lock()
					defer mu.Unlock()
					held += bytes
					most = max(most, held)
				}
				var work sync.WaitGroup
				for range count {
					here, there := net.Pipe()
					c := b.admit(here, MessageCost)
					if c == nil {
						_ = here.Close() // Nothing was read from it.
						continue
					}
					work.Go(func() {
						_, err := there.Write(make([]byte, messageBytes))
						if err == nil {
							time.Sleep(3 * time.Second)
						}
						_ = there.Close() // The other end reads the end.
					})
					hold(connectionBytes)
					work.Go(func() {
						bytes := int64(0)
						for buffer := make([]byte, 64<<10); ; {
							n, err := c.Read(buffer)
							hold(MessageCost(bytes+int64(n), 0) - MessageCost(bytes, 0))
							bytes += int64(n)
							if err == nil {
								continue
							}
							if errors.Is(err, ErrEvicted) {
								time.Sleep(delay) // The process has no processor time.
							}
							_ = c.Close() // The error of Read ends it.
							lateCollector{}.notify(func() { hold(-MessageCost(bytes, 0) - connectionBytes) })
							return
						}
					})
				}
				work.Wait()
				time.Sleep(2 * collectionTime)
				mu.Lock()
				defer mu.Unlock()
				b.mu.Lock()
				defer b.mu.Unlock()
				// What is read before the reservation fails is not kept by the reader for long.
				if limit := int64(size + count*2*maxMessageRead); most > limit {
					t.Errorf("%d bytes were in use, the limit is %d", most, limit)
				}
				if b.used != 0 || b.leaving != 0 {
					t.Errorf("in use after all connections have ended: %d, leaving %d", b.used, b.leaving)
				}
			})
		})
	}
}
