package fakeplatform_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/fakeplatform"
	"github.com/wigeonstand/wigeonstand/internal/faker"
	"github.com/wigeonstand/wigeonstand/internal/logger"
	"github.com/wigeonstand/wigeonstand/internal/storer"
)

const bearerKey = "secret"

// face is a platform served over loopback.
type face struct {
	t        *testing.T
	platform *fakeplatform.Platform
	server   *httptest.Server
}

func newFace(t *testing.T, options ...fakeplatform.Option) face {
	p := fakeplatform.New(options...)
	server := httptest.NewServer(p.Handler(bearerKey))
	t.Cleanup(server.Close)
	return face{t, p, server}
}

// do sends the request and returns its status and body; 0 is a cut connection.
func (f face) do(method, path, key string, body []byte) (int, []byte) {
	f.t.Helper()
	request, err := http.NewRequestWithContext(f.t.Context(), method, f.server.URL+path, bytes.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := f.server.Client().Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		f.t.Fatal(err)
	}
	return response.StatusCode, answer
}

// call sends a value as JSON and reads the answer into out, if it is not nil.
func (f face) call(method, path string, in, out any) int {
	f.t.Helper()
	body, err := json.Marshal(in)
	if err != nil {
		f.t.Fatal(err)
	}
	status, answer := f.do(method, path, bearerKey, body)
	if out != nil && status == http.StatusOK {
		if err := json.Unmarshal(answer, out); err != nil {
			f.t.Fatal(err)
		}
	}
	return status
}

func (f face) wantStatus(want, got int) {
	f.t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		f.t.Errorf("status: %s", diff)
	}
}

func TestHandlerServesTheTable(t *testing.T) {
	f := newFace(t)
	var result storer.Result
	f.wantStatus(http.StatusOK, f.call("POST", storer.PathCommit, set("a", "1", 0), &result))
	f.wantStatus(http.StatusConflict, f.call("POST", storer.PathCommit, set("a", "2", 0), nil))
	var read, scanned storer.ReadResponse
	f.wantStatus(http.StatusOK, f.call("POST", storer.PathRead, storer.ReadRequest{Keys: []string{"a"}}, &read))
	f.wantStatus(http.StatusOK, f.call("POST", storer.PathScan, storer.ScanRequest{Prefix: "a"}, &scanned))
	want := storer.ReadResponse{Rows: []storer.Row{{Key: "a", Value: []byte("1"), Version: result.Versions["a"]}}}
	if diff := cmp.Diff(want, read); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(want, scanned); diff != "" {
		t.Error(diff)
	}
}

func TestHandlerServesObjectsUnderAnyKey(t *testing.T) {
	f := newFace(t)
	const key = "/objects/shard/7//a%2F..%20b"
	status, _ := f.do("GET", key, bearerKey, nil)
	f.wantStatus(http.StatusNotFound, status)
	status, _ = f.do("PUT", key, bearerKey, []byte{0, 1, 2})
	f.wantStatus(http.StatusNoContent, status)
	status, body := f.do("GET", key, bearerKey, nil)
	f.wantStatus(http.StatusOK, status)
	if diff := cmp.Diff([]byte{0, 1, 2}, body); diff != "" {
		t.Error(diff)
	}
	var list storer.ObjectList
	f.wantStatus(http.StatusOK, f.call("GET", storer.PathObjects+"?Prefix=shard/&Limit=5", nil, &list))
	if diff := cmp.Diff([]string{"shard/7//a/.. b"}, list.Keys); diff != "" {
		t.Error(diff)
	}
	for range 2 {
		status, _ = f.do("DELETE", key, bearerKey, nil)
		f.wantStatus(http.StatusNoContent, status)
	}
}

func TestHandlerAsksForTheKey(t *testing.T) {
	f := newFace(t)
	status, _ := f.do("GET", storer.PathInstances, "wrong", nil)
	f.wantStatus(http.StatusUnauthorized, status)
	status, _ = f.do("PUT", "/objects/o", "wrong", nil)
	f.wantStatus(http.StatusUnauthorized, status)
}

func TestHandlerTellsRefusedFromLost(t *testing.T) {
	f := newFace(t, fakeplatform.WithWriteRate(0, 2))
	f.wantStatus(http.StatusNoContent, f.call("PUT", storer.PathFaults, storer.Faults{Outage: true}, nil))
	f.wantStatus(http.StatusServiceUnavailable, f.call("POST", storer.PathCommit, set("a", "1", 0), nil))
	f.wantStatus(http.StatusNoContent, f.call("PUT", storer.PathFaults, storer.Faults{LoseAnswers: 1}, nil))
	f.wantStatus(0, f.call("POST", storer.PathCommit, set("a", "1", 0), nil))
	status, _ := f.do("PUT", "/objects/o", bearerKey, nil)
	f.wantStatus(0, status)
	f.wantStatus(http.StatusTooManyRequests, f.call("POST", storer.PathCommit, set("b", "1", 0), nil))
	want := fakeplatform.Counts{Commits: 1, RowWrites: 1, Puts: 1, Lost: 2, Throttled: 1, Unavailable: 1}
	if diff := cmp.Diff(want, f.platform.Counts()); diff != "" {
		t.Error(diff)
	}
}

func TestHandlerListsRegisteredInstances(t *testing.T) {
	f := newFace(t)
	listing := storer.Listing{Instance: "i-1", Address: "127.0.0.1:7001", DataCentre: "ee-tln"}
	f.wantStatus(http.StatusNoContent, f.call("POST", storer.PathInstances, listing, nil))
	var page storer.ListingPage
	f.wantStatus(http.StatusOK, f.call("GET", storer.PathInstances, nil, &page))
	if diff := cmp.Diff(storer.ListingPage{Instances: []storer.Listing{listing}}, page); diff != "" {
		t.Error(diff)
	}
}

func TestHandlerDelaysAndHangsOnThePausedClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := fakeplatform.New()
		listener := faker.NewPipeListener()
		transport := listener.Transport()
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() {
			done <- faker.Server{Grace: time.Second}.ServeOn(ctx, logger.Discard(), listener, p.Handler(""))
		}()
		commit := func(key string) bool {
			body, err := json.Marshal(set(key, "1", 0))
			if err != nil {
				t.Fatal(err)
			}
			client := &http.Client{Transport: transport, Timeout: time.Minute}
			response, err := client.Post("http://platform"+storer.PathCommit, "application/json", bytes.NewReader(body))
			if err != nil {
				return false
			}
			return response.Body.Close() == nil
		}
		took := func(faults storer.Faults, key string) (bool, time.Duration) {
			p.SetFaults(faults)
			start := time.Now()
			return commit(key), time.Since(start)
		}
		type answer struct {
			Whole bool
			Took  time.Duration
		}
		var got []answer
		for _, faults := range []storer.Faults{{Delay: time.Second}, {Delay: 2 * time.Minute}, {Silent: true}} {
			whole, d := took(faults, "key"+fmt.Sprint(len(got)))
			got = append(got, answer{whole, d})
		}
		want := []answer{{true, time.Second}, {false, time.Minute}, {false, time.Minute}}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Error(diff)
		}
		// The slow write has taken effect though its caller gave up.
		if diff := cmp.Diff(2, p.Counts().Commits); diff != "" {
			t.Error(diff)
		}
		transport.CloseIdleConnections()
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}
