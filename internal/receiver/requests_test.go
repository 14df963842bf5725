package receiver_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/answerer"
	"github.com/wigeonstand/wigeonstand/internal/compiler"
	"github.com/wigeonstand/wigeonstand/internal/receiver"
	"github.com/wigeonstand/wigeonstand/internal/requester"
)

const turnsPath = "/v1/programs/p1/turns"

func TestInvalidRequestsDoNotReachTheOwner(t *testing.T) {
	with := func(name, value string) map[string]string { return map[string]string{name: value} }
	deep := strings.Repeat("[", 20) + strings.Repeat("]", 20)
	tests := map[string]struct {
		request testRequest
		want    answerer.Kind
	}{
		"NoKey":            {testRequest{method: "POST", path: turnsPath, header: with("Authorization", "")}, answerer.Unauthenticated},
		"NotBearer":        {testRequest{method: "POST", path: turnsPath, header: with("Authorization", "Basic key")}, answerer.Unauthenticated},
		"UnknownKey":       {testRequest{method: "POST", path: turnsPath, header: with("Authorization", "Bearer unknown")}, answerer.Unauthenticated},
		"HashAsKey":        {testRequest{method: "POST", path: turnsPath, header: with("Authorization", "Bearer "+sha256Hex("key"))}, answerer.Unauthenticated},
		"SharedKey":        {testRequest{method: "POST", path: turnsPath, header: with("Authorization", "Bearer shared")}, answerer.Unauthenticated},
		"NoBody":           {testRequest{method: "POST", path: turnsPath}, answerer.BadRequest},
		"NotJSON":          {testRequest{method: "POST", path: turnsPath, body: `{"Input":`}, answerer.BadRequest},
		"NotAnObject":      {testRequest{method: "POST", path: turnsPath, body: `[]`}, answerer.BadRequest},
		"Null":             {testRequest{method: "POST", path: turnsPath, body: `null`}, answerer.BadRequest},
		"TwoValues":        {testRequest{method: "POST", path: turnsPath, body: `{"Input":"x"}{}`}, answerer.BadRequest},
		"UnknownField":     {testRequest{method: "POST", path: turnsPath, body: `{"Input":"x","Inputs":"y"}`}, answerer.BadRequest},
		"FieldTwice":       {testRequest{method: "POST", path: turnsPath, body: `{"Input":"x","input":"y"}`}, answerer.BadRequest},
		"WrongType":        {testRequest{method: "POST", path: turnsPath, body: `{"Input":1}`}, answerer.BadRequest},
		"Fraction":         {testRequest{method: "POST", path: turnsPath, body: `{"Input":"x","Number":1.5}`}, answerer.BadRequest},
		"NumberTooLarge":   {testRequest{method: "POST", path: turnsPath, body: `{"Input":"x","Number":99999999999999999999}`}, answerer.BadRequest},
		"NegativeNumber":   {testRequest{method: "POST", path: turnsPath, body: `{"Input":"x","Number":-1}`}, answerer.BadRequest},
		"NegativeTokens":   {testRequest{method: "POST", path: turnsPath, body: `{"Input":"x","MaxTokens":-1}`}, answerer.BadRequest},
		"EmptyInput":       {testRequest{method: "POST", path: turnsPath, body: `{}`}, answerer.BadRequest},
		"BadKey":           {testRequest{method: "POST", path: turnsPath, body: `{"Input":"x","Key":"a b"}`}, answerer.BadRequest},
		"BadChain":         {testRequest{method: "POST", path: turnsPath, body: `{"Input":"x","Chain":"\n"}`}, answerer.BadRequest},
		"TooDeep":          {testRequest{method: "POST", path: turnsPath, body: `{"Input":` + deep + `}`}, answerer.BadRequest},
		"NotUTF8":          {testRequest{method: "POST", path: turnsPath, body: "{\"Input\":\"\xff\"}"}, answerer.BadRequest},
		"ContentType":      {testRequest{method: "POST", path: turnsPath, body: `{"Input":"x"}`, header: with("Content-Type", "text/plain")}, answerer.BadRequest},
		"NoContentType":    {testRequest{method: "POST", path: turnsPath, body: `{"Input":"x"}`, header: with("Content-Type", "")}, answerer.BadRequest},
		"TooLarge":         {testRequest{method: "POST", path: turnsPath, body: `{"Input":"` + strings.Repeat("x", 2000) + `"}`}, answerer.TooLarge},
		"Timeout":          {testRequest{method: "GET", path: "/v1/outcomes/k", header: with("Wigeonstand-Timeout", "soon")}, answerer.BadRequest},
		"ZeroTimeout":      {testRequest{method: "GET", path: "/v1/outcomes/k", header: with("Wigeonstand-Timeout", "0s")}, answerer.BadRequest},
		"NegativeTimeout":  {testRequest{method: "GET", path: "/v1/outcomes/k", header: with("Wigeonstand-Timeout", "-1s")}, answerer.BadRequest},
		"BadProgram":       {testRequest{method: "GET", path: "/v1/programs/P1/history"}, answerer.BadRequest},
		"DotsInProgram":    {testRequest{method: "GET", path: "/v1/programs/a.b.c/history"}, answerer.BadRequest},
		"SlashInProgram":   {testRequest{method: "GET", path: "/v1/programs/a%2Fb/history"}, answerer.BadRequest},
		"LongProgram":      {testRequest{method: "GET", path: "/v1/programs/" + strings.Repeat("a", 65) + "/history"}, answerer.BadRequest},
		"BadAfter":         {testRequest{method: "GET", path: "/v1/programs/p1/history?After=x"}, answerer.BadRequest},
		"NegativeAfter":    {testRequest{method: "GET", path: "/v1/programs/p1/history?After=-1"}, answerer.BadRequest},
		"BadOutcome":       {testRequest{method: "GET", path: "/v1/outcomes/a%20b"}, answerer.BadRequest},
		"BodyNotExpected":  {testRequest{method: "DELETE", path: "/v1/programs/p1", body: "{}"}, answerer.BadRequest},
		"BadAgent":         {testRequest{method: "POST", path: "/v1/programs", body: `{"Agent":"a/b"}`}, answerer.BadRequest},
		"NegativeBudget":   {testRequest{method: "POST", path: "/v1/programs", body: `{"Agent":"a","Budget":-1}`}, answerer.BadRequest},
		"BadParent":        {testRequest{method: "POST", path: "/v1/programs", body: `{"Agent":"a","Parent":"../x"}`}, answerer.BadRequest},
		"BadOpenKey":       {testRequest{method: "POST", path: "/v1/programs", body: `{"Agent":"a","Key":"é"}`}, answerer.BadRequest},
		"UnknownService":   {testRequest{method: "POST", path: "/v1/services/none/x"}, answerer.NotFound},
		"ServiceOfAnother": {testRequest{method: "POST", path: "/v1/services/dockets/x", header: with("Wigeonstand-Key", "k")}, answerer.NotFound},
		"KeyRequired":      {testRequest{method: "POST", path: "/v1/services/fees/x"}, answerer.BadRequest},
		"BadCallKey":       {testRequest{method: "POST", path: "/v1/services/fees/x", header: with("Wigeonstand-Key", "a b")}, answerer.BadRequest},
		"BadCallProgram":   {testRequest{method: "GET", path: "/v1/services/lookup/x", header: with("Wigeonstand-Program", "A")}, answerer.BadRequest},
		"CallTooLarge":     {testRequest{method: "POST", path: "/v1/services/lookup/x", body: strings.Repeat("x", 2000)}, answerer.TooLarge},
		"DottedPath":       {testRequest{method: "GET", path: "/v1/services/lookup/../fees/x"}, answerer.BadRequest},
		"EncodedDots":      {testRequest{method: "GET", path: "/v1/services/lookup/%2e%2e/x"}, answerer.BadRequest},
		"EmptySegment":     {testRequest{method: "GET", path: "/v1//programs"}, answerer.BadRequest},
		"UnknownPath":      {testRequest{method: "GET", path: "/v2"}, answerer.NotFound},
		"UnknownMethod":    {testRequest{method: "PATCH", path: turnsPath}, answerer.NotFound},
		"CallMethod":       {testRequest{method: "TRACE", path: "/v1/services/lookup/x"}, answerer.NotFound},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := newReceiver(func(_ context.Context, command requester.Command, _ requester.Sink) (requester.Reply, error) {
				t.Errorf("the owner received the command %+v", command)
				return requester.Reply{}, nil
			}, receiver.WithBodyLimit(1000, time.Second))
			recorder := perform(r, test.request)
			response := decodeError(t, recorder.Body.Bytes())
			if diff := cmp.Diff(test.want, response.Kind); diff != "" {
				t.Errorf("%s: %s", response.Detail, diff)
			}
			if diff := cmp.Diff(answerer.NotRun, response.Ran); diff != "" {
				t.Error(diff)
			}
			if diff := cmp.Diff(answerer.Lookup(test.want).Status, recorder.Code); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestMissingKeyNamesTheHeader(t *testing.T) {
	recorder := perform(newReceiver(replyToAll), testRequest{method: "POST", path: "/v1/services/fees/x"})
	if !strings.Contains(recorder.Body.String(), "Wigeonstand-Key") {
		t.Error(recorder.Body)
	}
}

func TestRequestsFailBeforeTheFirstVersion(t *testing.T) {
	r := receiver.New(doFunc(replyToAll), func() *compiler.Version { return nil })
	recorder := perform(r, testRequest{method: "GET", path: "/v1/outcomes/k"})
	if diff := cmp.Diff(answerer.StoreUnavailable, decodeError(t, recorder.Body.Bytes()).Kind); diff != "" {
		t.Error(diff)
	}
}

func TestTimeoutIsBounded(t *testing.T) {
	for header, want := range map[string]time.Duration{"": time.Second, "1500ms": 1500 * time.Millisecond, "9h": 2 * time.Second} {
		r := newReceiver(func(ctx context.Context, command requester.Command, sink requester.Sink) (requester.Reply, error) {
			if diff := cmp.Diff(want, command.Timeout); diff != "" {
				t.Error(diff)
			}
			return replyToAll(ctx, command, sink)
		}, receiver.WithTimeouts(time.Second, 2*time.Second))
		perform(r, testRequest{method: "GET", path: "/v1/outcomes/k", header: map[string]string{"Wigeonstand-Timeout": header}})
	}
}

func TestReadinessFollowsStopping(t *testing.T) {
	r := newReceiver(replyToAll)
	ready := r.Readyz(func() error { return nil })
	for _, stopping := range []bool{false, true} {
		r.SetStopping(stopping)
		want := map[bool]int{false: http.StatusOK, true: http.StatusServiceUnavailable}[stopping]
		if diff := cmp.Diff(want, get(ready)); diff != "" {
			t.Error(diff)
		}
		recorder := perform(r, testRequest{method: "GET", path: "/v1/outcomes/k"})
		if diff := cmp.Diff(stopping, recorder.Header().Get("Connection") == "close"); diff != "" || recorder.Code != http.StatusOK {
			t.Error(diff, recorder.Code)
		}
	}
	if diff := cmp.Diff(http.StatusOK, get(receiver.Healthz())); diff != "" {
		t.Error(diff)
	}
}
