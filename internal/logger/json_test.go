package logger_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/netip"
	"net/url"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/logger"
)

var (
	testEvent  = logger.Define(990001, "Test", log.WarnLevel, "something happened", "None.")
	debugEvent = logger.Define(990002, "Quiet", log.DebugLevel, "nothing happened", "None.")
)

func TestJSONLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		l := logger.New(&out, logger.WithJSON(), logger.WithMilliseconds()).With("Instance", "a-1")
		l.Log(debugEvent)
		l.Log(testEvent, "Took", 1500*time.Microsecond, "Cause", errors.New("it \"broke\"\n at once"), "NilError", error(nil), "NilPointer", (*url.Error)(nil),
			"Load", 0.25, "Count", int64(3), "Is", true, "Address", netip.MustParseAddrPort("10.0.0.1:80"), "Came", []string{"x", "y"})
		if n := bytes.Count(out.Bytes(), []byte("\n")); n != 1 {
			t.Errorf("%d lines", n)
		}
		var got map[string]any
		if err := json.Unmarshal(out.Bytes(), &got); err != nil {
			t.Fatal(err)
		}
		want := map[string]any{
			"time": time.Now().Format("2006-01-02T15:04:05.000Z07:00"), "level": "warn", "msg": "something happened",
			"Instance": "a-1", "Event": 990001.0, "Name": "Test", "Took": "1.5ms", "Cause": "it \"broke\"\n at once", "NilError": nil, "NilPointer": "<nil>",
			"Load": 0.25, "Count": 3.0, "Is": true, "Address": "10.0.0.1:80", "Came": []any{"x", "y"},
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Error(diff)
		}
	})
}

func BenchmarkLog(b *testing.B) {
	l := logger.New(logger.NewRateLimitedWriter(io.Discard), logger.WithJSON(), logger.WithMilliseconds()).With("Instance", "a-1")
	for b.Loop() {
		l.Log(testEvent, "Request", "0123456789abcdef", "Outcome", "Served", "Total", 123456789*time.Nanosecond,
			"Program", "699051d71e0fa5", "Route", "r-abc", "Version", int64(2), "Status", 200, "Endpoint", "i-13285679e2",
			"Load", 3.0, "LoadAge", 96811873*time.Nanosecond, "Sends", 1, "MeanLoad", 0.2)
	}
}
