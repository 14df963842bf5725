package administrator_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/wigeonstand/wigeonstand/internal/administrator"
	"github.com/wigeonstand/wigeonstand/internal/answerer"
	"github.com/wigeonstand/wigeonstand/internal/compiler"
	"github.com/wigeonstand/wigeonstand/internal/publisher"
	"github.com/wigeonstand/wigeonstand/internal/requester"
)

const (
	bootstrapKey = "first"
	policyKey    = "policy-key"
)

// fakePublisher is an in-memory Publisher and Follower.
type fakePublisher struct {
	administrator.Publisher
	version  compiler.Version
	document compiler.Document
	started  bool
	edits    []publisher.Edit
	err      error
}

func (p *fakePublisher) Current() *compiler.Version { return &p.version }
func (p *fakePublisher) Started() bool              { return p.started }

func (p *fakePublisher) Edit(_ context.Context, edit publisher.Edit) (publisher.Result, error) {
	if !edit.MayChange(edit.Section) {
		return publisher.Result{}, answerer.New(answerer.Forbidden, "operator may not change this section")
	}
	p.edits = append(p.edits, edit)
	return publisher.Result{EditID: edit.EditID, Version: 4}, p.err
}

func (p *fakePublisher) Head(context.Context) (*publisher.Manifest, error) {
	return &publisher.Manifest{Version: 4}, p.err
}

func (p *fakePublisher) Show(context.Context, int64) (*publisher.Manifest, compiler.Document, error) {
	return &publisher.Manifest{Version: 4}, p.document, p.err
}

// fakeFleet has the instances i-1 and i-2; i-2 does not answer.
type fakeFleet struct{ drained []string }

func (f *fakeFleet) Instances(context.Context) ([]administrator.Instance, error) {
	return []administrator.Instance{
		{Name: "i-2", Version: 3},
		{Name: "i-1", Address: netip.MustParseAddrPort("127.0.0.1:1"), Version: 4, Reachable: true},
	}, nil
}

func (f *fakeFleet) Drain(_ context.Context, instance string) error {
	f.drained = append(f.drained, instance)
	return nil
}

func (f *fakeFleet) Do(_ context.Context, instance string, command requester.Command) (requester.Reply, error) {
	if instance == "i-2" {
		return requester.Reply{}, errors.New("no answer")
	}
	listed := requester.ListReply{
		Programs: []requester.Explanation{{Program: "p-1", Business: "acme"}, {Program: "p-2", Business: "other"}},
		Outcomes: []requester.OutcomeView{{Key: "k-1", State: "Unknown"}},
	}
	if command.List == nil {
		return requester.Reply{}, errors.New("not a list command")
	}
	return requester.Reply{List: &listed}, nil
}

// recordingDoer records commands and answers End and Resolve.
type recordingDoer struct{ commands []requester.Command }

func (d *recordingDoer) Do(_ context.Context, command requester.Command, _ requester.Sink) (requester.Reply, error) {
	command.Timeout = 0
	d.commands = append(d.commands, command)
	switch {
	case command.End != nil:
		return requester.Reply{End: &requester.EndReply{Program: command.End.Program, Reason: command.End.Reason}}, nil
	case command.Resolve != nil:
		return requester.Reply{Outcome: &requester.OutcomeView{Key: command.Resolve.Key, State: "Resolved"}}, nil
	default:
		return requester.Reply{}, answerer.New(answerer.NotFound, "no such program")
	}
}

// fixture is the API under test with its fakes.
type fixture struct {
	*fakePublisher
	*fakeFleet
	*recordingDoer
	handler http.Handler
}

func newFixture(operators ...*compiler.Operator) *fixture {
	b := &fixture{fakePublisher: &fakePublisher{started: true}, fakeFleet: &fakeFleet{}, recordingDoer: &recordingDoer{}}
	b.version = compiler.Version{Number: 4, Operators: map[string]*compiler.Operator{}}
	for _, operator := range operators {
		b.version.Operators[operator.Name] = operator
	}
	b.handler = administrator.New(b.fakePublisher, b.fakePublisher, administrator.WithFleet(b.fakeFleet), administrator.WithDoer(b.recordingDoer),
		administrator.WithBootstrapKeyHash(compiler.HashKey(bootstrapKey)), administrator.WithMaxBodyBytes(1024))
	return b
}

func policyOperator() *compiler.Operator {
	return &compiler.Operator{Name: "pat", KeyHash: compiler.HashKey(policyKey), Sections: []string{"Policy", "Programs"}}
}

// send sends a request and decodes the response as T, or as an ErrorView unless the
// status is 200.
func send[T any](t *testing.T, b *fixture, key, method, path, body string) (int, T, administrator.ErrorView) {
	t.Helper()
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	w := httptest.NewRecorder()
	b.handler.ServeHTTP(w, r)
	var answer T
	var refusal administrator.ErrorView
	into := any(&answer)
	if w.Code != http.StatusOK {
		into = &refusal
	}
	if err := json.NewDecoder(w.Body).Decode(into); err != nil && !errors.Is(err, io.EOF) {
		t.Fatal(err)
	}
	return w.Code, answer, refusal
}

func TestRefusals(t *testing.T) {
	cases := map[string]struct {
		key, method, path, body string
		operators               []*compiler.Operator
		change                  func(*fixture)
		want                    answerer.Kind
	}{
		"no key":                     {method: "GET", path: administrator.PathStatus, want: answerer.Unauthenticated},
		"unknown key":                {key: "x", method: "GET", path: administrator.PathStatus, want: answerer.Unauthenticated},
		"bootstrap beside operators": {key: bootstrapKey, method: "GET", path: administrator.PathStatus, operators: []*compiler.Operator{policyOperator()}, want: answerer.Unauthenticated},
		"bootstrap beside newer operators": {
			key: bootstrapKey, method: "GET", path: administrator.PathStatus,
			change: func(b *fixture) {
				b.document.Sections = []compiler.Section{{Name: "Operators", File: "o", Text: "Operators: [{Name: pat, KeyHash: " + compiler.HashKey("x") + ", Sections: ['*']}]\n"}}
			},
			want: answerer.Unauthenticated,
		},
		"bootstrap while the store is down": {
			key: bootstrapKey, method: "GET", path: administrator.PathStatus,
			change: func(b *fixture) { b.err = answerer.New(answerer.StoreUnavailable, "down") }, want: answerer.StoreUnavailable,
		},
		"document not loaded": {
			key: bootstrapKey, method: "GET", path: administrator.PathStatus,
			change: func(b *fixture) { b.started = false }, want: answerer.StoreUnavailable,
		},
		"section of another team": {key: policyKey, method: "PUT", path: administrator.PathSections + "Agents", body: "{}", operators: []*compiler.Operator{policyOperator()}, want: answerer.Forbidden},
		"drain without the right": {key: policyKey, method: "POST", path: administrator.PathInstances + "/i-1/drain", body: "{}", operators: []*compiler.Operator{policyOperator()}, want: answerer.Forbidden},
		"unknown field":           {key: policyKey, method: "PUT", path: administrator.PathSections + "Policy", body: `{"Txet": ""}`, operators: []*compiler.Operator{policyOperator()}, want: answerer.BadRequest},
		"two values":              {key: policyKey, method: "PUT", path: administrator.PathSections + "Policy", body: `{} {}`, operators: []*compiler.Operator{policyOperator()}, want: answerer.BadRequest},
		"large body":              {key: policyKey, method: "PUT", path: administrator.PathSections + "Policy", body: `{"Text": "` + strings.Repeat("x", 2000) + `"}`, operators: []*compiler.Operator{policyOperator()}, want: answerer.TooLarge},
		"unknown section":         {key: policyKey, method: "GET", path: administrator.PathSections + "Widgets", operators: []*compiler.Operator{policyOperator()}, want: answerer.NotFound},
		"unknown path":            {method: "GET", path: "/operator/v1/widgets", want: answerer.NotFound},
		"end without a business":  {key: policyKey, method: "POST", path: administrator.PathPrograms + "/p-1/end", body: `{}`, operators: []*compiler.Operator{policyOperator()}, want: answerer.BadRequest},
		"explain unknown program": {key: policyKey, method: "GET", path: administrator.PathPrograms + "/p-9/explain?Business=acme", operators: []*compiler.Operator{policyOperator()}, want: answerer.NotFound},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newFixture(c.operators...)
			if c.change != nil {
				c.change(b)
			}
			status, _, refusal := send[administrator.EmptyView](t, b, c.key, c.method, c.path, c.body)
			row := answerer.Lookup(c.want)
			want := administrator.ErrorView{Kind: row.Kind, Ran: row.Ran}
			ignore := cmpopts.IgnoreFields(administrator.ErrorView{}, "Detail", "Request", "RetryAfter")
			if diff := cmp.Diff(want, refusal, ignore); diff != "" {
				t.Error(diff)
			}
			if diff := cmp.Diff(row.Status, status); diff != "" {
				t.Error(diff)
			}
			if refusal.Request == "" || refusal.Detail == "" || (refusal.RetryAfter != "") != row.Retryable {
				t.Errorf("incomplete refusal: %+v", refusal)
			}
			if len(b.edits)+len(b.drained)+len(b.commands) > 0 && c.want != answerer.NotFound {
				t.Error("a refused request was carried out")
			}
		})
	}
}

func TestEditIsPublished(t *testing.T) {
	b := newFixture(policyOperator())
	body := `{"EditID": "e-1", "BaseRevision": 3, "File": "p.yaml", "Line": 7, "Text": "Policy: {}\n"}`
	_, result, _ := send[publisher.Result](t, b, policyKey, "PUT", administrator.PathSections+"Policy", body)
	if diff := cmp.Diff(publisher.Result{EditID: "e-1", Version: 4}, result); diff != "" {
		t.Error(diff)
	}
	want := []publisher.Edit{{
		Request:     publisher.Request{Operator: "pat", EditID: "e-1"},
		SectionEdit: publisher.SectionEdit{Section: "Policy", BaseRevision: 3, File: "p.yaml", Line: 7, Text: "Policy: {}\n"},
	}}
	if diff := cmp.Diff(want, b.edits, cmpopts.IgnoreFields(publisher.Request{}, "MayChange")); diff != "" {
		t.Error(diff)
	}
}

func TestStatusNamesLaggingInstances(t *testing.T) {
	b := newFixture(policyOperator())
	_, status, _ := send[administrator.StatusView](t, b, policyKey, "GET", administrator.PathStatus, "")
	if diff := cmp.Diff([]string{"i-2"}, status.Lagging); diff != "" || status.Everywhere || status.Newest != 4 {
		t.Errorf("%s%+v", diff, status)
	}
}

func TestListsNameMissingInstances(t *testing.T) {
	b := newFixture(policyOperator())
	_, programs, _ := send[administrator.ProgramsView](t, b, policyKey, "GET", administrator.PathPrograms+"?Business=acme", "")
	wantPrograms := administrator.ProgramsView{
		Programs: []requester.Explanation{{Program: "p-1", Business: "acme"}}, Missing: []string{"i-2"},
	}
	if diff := cmp.Diff(wantPrograms, programs); diff != "" {
		t.Error(diff)
	}
	_, outcomes, _ := send[administrator.OutcomesView](t, b, policyKey, "GET", administrator.PathOutcomes, "")
	wantOutcomes := administrator.OutcomesView{
		Outcomes: []administrator.Outcome{{Instance: "i-1", OutcomeView: requester.OutcomeView{Key: "k-1", State: "Unknown"}}},
		Missing:  []string{"i-2"},
	}
	if diff := cmp.Diff(wantOutcomes, outcomes); diff != "" {
		t.Error(diff)
	}
}

func TestCommandsAreForwarded(t *testing.T) {
	b := newFixture(policyOperator())
	_, ended, _ := send[requester.EndReply](t, b, policyKey, "POST", administrator.PathPrograms+"/p-1/end",
		`{"EditID": "e-1", "Business": "acme", "Reason": "loops"}`)
	if diff := cmp.Diff(requester.EndReply{Program: "p-1", Reason: "loops"}, ended); diff != "" {
		t.Error(diff)
	}
	_, outcome, _ := send[requester.OutcomeView](t, b, policyKey, "POST", administrator.PathResolve,
		`{"EditID": "e-2", "Business": "acme", "Key": "k-1", "Landed": true, "Note": "seen"}`)
	if diff := cmp.Diff(requester.OutcomeView{Key: "k-1", State: "Resolved"}, outcome); diff != "" {
		t.Error(diff)
	}
	want := []requester.Command{
		{Request: "e-1", Business: "acme", End: &requester.End{Program: "p-1", Reason: "loops"}},
		{Request: "e-2", Business: "acme", Resolve: &requester.Resolve{Key: "k-1", Landed: true, Note: "seen"}},
	}
	if diff := cmp.Diff(want, b.commands); diff != "" {
		t.Error(diff)
	}
}
