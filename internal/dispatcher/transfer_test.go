package dispatcher_test

import (
	"bytes"
	"io"
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/google/go-cmp/cmp"
)

func TestTransferIsWholeOrFails(t *testing.T) {
	whole := bytes.Repeat([]byte("kv"), 1<<16)
	for _, cut := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			var imported []byte
			d := newEndpoint(t, func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/v1/export" {
					_, _ = w.Write(whole)
					if cut {
						panic(http.ErrAbortHandler)
					}
					return
				}
				body, err := io.ReadAll(r.Body)
				if err != nil {
					panic(http.ErrAbortHandler)
				}
				imported = body
				w.WriteHeader(http.StatusNoContent)
			})
			err := d.Transfer(t.Context(), engine, engine, "p1")
			if diff := cmp.Diff(cut, err != nil); diff != "" {
				t.Errorf("%v: %s", err, diff)
			}
			if diff := cmp.Diff(!cut, bytes.Equal(whole, imported)); diff != "" {
				t.Errorf("%d bytes imported: %s", len(imported), diff)
			}
		})
	}
}
