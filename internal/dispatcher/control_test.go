package dispatcher_test

import (
	"io"
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/dispatcher"
	"github.com/wigeonstand/wigeonstand/internal/generator"
)

func TestControlRequestsMatchEngineProtocol(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var requests []string
		d := newDispatcher(t, func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			requests = append(requests, r.Method+" "+r.URL.RequestURI()+" "+string(body))
			if r.URL.Path == "/v1/export" {
				_, _ = w.Write([]byte("kv"))
				return
			}
			_, _ = w.Write([]byte(`{"Running":2,"Next":9,"Fence":4,"Holdings":[{"Program":"p","Tokens":3}]}`))
		})
		ctx := t.Context()
		load, err1 := d.Load(ctx, engine)
		page, err2 := d.Events(ctx, engine, 7)
		holdings, err3 := d.Holdings(ctx, engine)
		state, err4 := d.State(ctx, engine)
		exported, err5 := d.Export(ctx, engine, "p")
		errs := []error{
			err1, err2, err3, err4, err5, d.Import(ctx, engine, exported), d.Cancel(ctx, engine, "r"),
			d.Release(ctx, engine, "p"), d.Ping(ctx, engine),
		}
		if diff := cmp.Diff(make([]error, len(errs)), errs); diff != "" {
			t.Error(diff)
		}
		got := []int{load.Running, int(page.Next), holdings.Holdings[0].Tokens, int(state.Fence)}
		if diff := cmp.Diff([]int{2, 9, 3, 4}, got); diff != "" {
			t.Error(diff)
		}
		want := []string{
			"GET /v1/load ", "GET /v1/events?After=7 ", "GET /v1/holdings ", "GET /v1/state ",
			`POST /v1/export {"Program":"p"}`, "POST /v1/import kv", `POST /v1/cancel {"Request":"r"}`,
			`POST /v1/release {"Program":"p"}`, "GET /healthz ",
		}
		if diff := cmp.Diff(want, requests); diff != "" {
			t.Error(diff)
		}
	})
}

func TestStatusDistinguishesRecordedFromUnseenCalls(t *testing.T) {
	tests := map[int]dispatcher.Reason{200: "", 404: "", 503: dispatcher.Failed}
	for status, want := range tests {
		synctest.Test(t, func(t *testing.T) {
			d := newDispatcher(t, func(w http.ResponseWriter, r *http.Request) {
				if diff := cmp.Diff("GET /status?Key=k%2F1", r.Method+" "+r.URL.RequestURI()); diff != "" {
					t.Error(diff)
				}
				w.WriteHeader(status)
			})
			service := *docketService
			service.StatusPath = "/status"
			response, err := d.Status(t.Context(), &service, engine, "k/1")
			if diff := cmp.Diff(want, failureOf(err).Reason); diff != "" || (err == nil && response.Status != status) {
				t.Errorf("response %+v, error %v: %s", response, err, diff)
			}
			if _, err := d.Status(t.Context(), docketService, engine, "k"); dispatcher.ReasonOf(err) != dispatcher.NotSent {
				t.Error(err)
			}
		})
	}
}

func TestResponseThatIsNotJSONIsAnError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDispatcher(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("<html>")) },
			dispatcher.WithResponseLimit(16))
		if report, err := d.Load(t.Context(), engine); err == nil {
			t.Error(report)
		}
		if _, err := d.SendOrder(t.Context(), engine, generator.Order{}); err == nil {
			t.Error("an order with an invalid response returned no error")
		}
	})
}
