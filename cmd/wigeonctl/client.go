package main

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/oklog/ulid/v2"
	"github.com/urfave/cli/v3"

	"github.com/wigeonstand/wigeonstand/internal/administrator"
	"github.com/wigeonstand/wigeonstand/internal/answerer"
)

const (
	// answerTimeout bounds one request; it is longer than an instance takes to
	// give up on the store.
	answerTimeout = 20 * time.Second
	dialTimeout   = 3 * time.Second
	answerBytes   = 64 << 20
	// rounds is how often all addresses are tried while nothing is in doubt.
	rounds = 2
)

// client talks to the operators' API of any of several instances.
type client struct {
	http      *http.Client
	addresses []*url.URL
	key       string
	timeout   time.Duration
}

func newClient(cmd *cli.Command) (*client, error) {
	c := &client{timeout: cmd.Duration(flagTimeout)}
	if err := c.setAddresses(cmd.StringSlice(flagAddress)); err != nil {
		return nil, err
	}
	if cmd.String(flagKeyFile) == "" {
		return nil, usage("no key: give --%s or set WIGEON_KEY_FILE", flagKeyFile)
	}
	key, err := os.ReadFile(cmd.String(flagKeyFile))
	if err != nil {
		return nil, usage("reading the key: %v", err)
	}
	c.key = strings.TrimSpace(string(key))
	roots, err := readRoots(cmd.String(flagCA))
	if err != nil {
		return nil, err
	}
	c.http = &http.Client{
		Timeout: answerTimeout,
		Transport: &http.Transport{
			DialContext:       (&net.Dialer{Timeout: dialTimeout}).DialContext,
			TLSClientConfig:   &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS12},
			DisableKeepAlives: true,
		},
	}
	return c, nil
}

func (c *client) setAddresses(texts []string) error {
	for _, text := range texts {
		if !strings.Contains(text, "://") {
			text = "https://" + text
		}
		address, err := url.Parse(text)
		if err != nil || address.Host == "" || address.Scheme != "https" && address.Scheme != "http" {
			return usage("%q is not an address such as https://10.0.0.1:7102", text)
		}
		c.addresses = append(c.addresses, address)
	}
	if len(c.addresses) == 0 {
		return usage("no address: give --%s or set WIGEON_ADDRESS", flagAddress)
	}
	return nil
}

// readRoots returns nil, which stands for the system's certificates, without a file.
func readRoots(file string) (*x509.CertPool, error) {
	if file == "" {
		return nil, nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, usage("reading the certificates: %v", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(text) {
		return nil, usage("%s holds no certificates", file)
	}
	return roots, nil
}

// request is one request that may be sent several times.
type request struct {
	method string
	path   string
	query  url.Values
	// body is nil for requests that change nothing.
	body any
	// editID is empty for requests that change nothing.
	editID string
}

// get reads what is at the path.
func (c *client) get(ctx context.Context, path string, query url.Values, into any) error {
	return c.do(ctx, request{method: http.MethodGet, path: path, query: query}, into)
}

// do sends the request until it is answered. A request that may have been
// carried out is sent again, with its edit id, until that is settled.
func (c *client) do(ctx context.Context, r request, into any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	s := &sending{client: c, request: r, into: into}
	retry := backoff.NewExponentialBackOff()
	for round := 1; ; round++ {
		if s.round(ctx) {
			return s.err
		}
		if s.hopeless || round >= rounds && !s.inDoubt || !sleep(ctx, retry.NextBackOff()) {
			return s.giveUp()
		}
	}
}

func sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// sending is the state of one call of do.
type sending struct {
	*client
	request
	into any
	// inDoubt is set once a request may have been carried out.
	inDoubt bool
	// hopeless is set once all addresses refuse without settling what is in doubt.
	hopeless bool
	err      error
}

// round tries each address once and says whether the request is settled.
func (s *sending) round(ctx context.Context) bool {
	s.hopeless = true
	for _, address := range s.addresses {
		s.err = s.send(ctx, address)
		if s.err == nil {
			return true
		}
		var refused *refusal
		if !errors.As(s.err, &refused) {
			s.inDoubt = s.inDoubt || s.editID != "" && !isDialError(s.err)
			s.hopeless = false
			continue
		}
		if s.settledBy(refused) {
			s.err = &failure{code: refused.code(), err: refused}
			return true
		}
		s.hopeless = s.hopeless && refused.code() == codeRefused
	}
	return false
}

// settledBy takes notice of a refusal and says whether it is the last word.
func (s *sending) settledBy(refused *refusal) bool {
	if refused.code() == codeUnknown {
		s.inDoubt = s.inDoubt || s.editID != ""
	}
	if s.inDoubt {
		return refused.settles()
	}
	return !answerer.Lookup(refused.Kind).Retryable
}

func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

func (s *sending) giveUp() error {
	if s.inDoubt {
		return fail(codeUnknown, "the outcome of edit %s is not known; give the command again with --%s %s: %w",
			s.editID, flagEditID, s.editID, s.err)
	}
	return &failure{code: codeUnreachable, err: s.err}
}

func (s *sending) send(ctx context.Context, address *url.URL) error {
	target := address.JoinPath(s.path)
	target.RawQuery = s.query.Encode()
	var body io.Reader
	if s.body != nil {
		encoded, err := json.Marshal(s.body)
		if err != nil {
			return err
		}
		body = bytes.NewReader(encoded)
	}
	r, err := http.NewRequestWithContext(ctx, s.method, target.String(), body)
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+s.key)
	r.Header.Set("Content-Type", "application/json")
	answer, err := s.http.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	return s.read(answer)
}

func (s *sending) read(answer *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(answer.Body, answerBytes))
	if err != nil {
		return err
	}
	if answer.StatusCode == http.StatusOK {
		return json.Unmarshal(body, s.into)
	}
	var view administrator.ErrorView
	if err := json.Unmarshal(body, &view); err != nil {
		return err
	}
	return &refusal{view}
}

// newEditID returns the id given on the command line or a fresh one.
func newEditID(cmd *cli.Command) string {
	if id := cmd.String(flagEditID); id != "" {
		return id
	}
	return ulid.Make().String()
}
