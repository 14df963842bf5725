package rerouter_test

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/extender"
	"github.com/wigeonstand/wigeonstand/internal/fakeplatform"
	"github.com/wigeonstand/wigeonstand/internal/rerouter"
	"github.com/wigeonstand/wigeonstand/internal/storer"
	"github.com/wigeonstand/wigeonstand/platform"
	"github.com/wigeonstand/wigeonstand/platform/standin"
)

// Writes that took longer to send than a response usually takes were taken for lost, so that they
// were cut off and repeated without end.
func TestLargeTransactionIsWrittenOverASlowLink(t *testing.T) {
	const linkBytesPerSecond = 22_000_000 / 8 // The link of the smallest instances.
	for _, bytes := range []int{1_000, 300_000, storer.MaxTransactionBytes} {
		t.Run(fmt.Sprint(bytes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rows := fakeplatform.NewRows(1)
				link := standin.NewLink(linkBytesPerSecond)
				server := &http.Server{Handler: standin.NewStore(rows.For("self")), ReadHeaderTimeout: time.Minute}
				go func() { _ = server.Serve(link) }() // It ends with the test.
				store := platform.NewStore(netip.MustParseAddrPort("10.0.0.1:80"), platform.WithDial(link.Dial))
				ctx, cancel := context.WithCancel(t.Context())
				r := rerouter.New(store, nil, rerouter.WithTimeouts(extender.New().WithTimeout))
				var running sync.WaitGroup
				running.Go(func() { r.Run(ctx) })
				defer func() {
					cancel()
					running.Wait()
					store.Close()
					_ = server.Close()
					time.Sleep(time.Second) // The server closes connections with unread bytes late.
				}()
				for i := range 3 {
					key := storer.RowKey{Table: "t", Name: fmt.Sprint(i)}
					if _, err := r.Transact(ctx, []storer.Change{{RowKey: key, Value: make([]byte, bytes)}}); err != nil {
						t.Errorf("write %d: %v", i, err)
					}
				}
			})
		})
	}
}
