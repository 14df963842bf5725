package dispatcher_test

import (
	"bytes"
	"io"
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/google/go-cmp/cmp"
)

func TestTransferIsCompleteOrFails(t *testing.T) {
	content := bytes.Repeat([]byte("kv"), 1<<16)
	for _, truncate := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			var imported []byte
			d := newDispatcher(t, func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/v1/export" {
					_, _ = w.Write(content)
					if truncate {
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
			if diff := cmp.Diff(truncate, err != nil); diff != "" {
				t.Errorf("%v: %s", err, diff)
			}
			if diff := cmp.Diff(!truncate, bytes.Equal(content, imported)); diff != "" {
				t.Errorf("%d bytes imported: %s", len(imported), diff)
			}
		})
	}
}
