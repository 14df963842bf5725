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
	// requestTimeout limits one request. It exceeds the time after which an
	// instance reports that the store does not answer.
	requestTimeout   = 20 * time.Second
	dialTimeout      = 3 * time.Second
	maxResponseBytes = 64 << 20
	// maxRounds limits the attempts at each address while the request cannot have run.
	maxRounds = 2
)

// client sends requests to the operators' API of several instances, in the order of
// their addresses.
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
		return nil, usageError("no key: give --%s or set WIGEON_KEY_FILE", flagKeyFile)
	}
	key, err := os.ReadFile(cmd.String(flagKeyFile))
	if err != nil {
		return nil, usageError("reading the key: %v", err)
	}
	c.key = strings.TrimSpace(string(key))
	roots, err := readRoots(cmd.String(flagCA))
	if err != nil {
		return nil, err
	}
	c.http = &http.Client{
		Timeout: requestTimeout,
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
			return usageError("%q is not an address such as https://10.0.0.1:7102", text)
		}
		c.addresses = append(c.addresses, address)
	}
	if len(c.addresses) == 0 {
		return usageError("no address: give --%s or set WIGEON_ADDRESS", flagAddress)
	}
	return nil
}

// readRoots reads CA certificates from a PEM file. Without a file it returns nil,
// which selects the system's certificates.
func readRoots(file string) (*x509.CertPool, error) {
	if file == "" {
		return nil, nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, usageError("reading the certificates: %v", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(text) {
		return nil, usageError("%s contains no certificates", file)
	}
	return roots, nil
}

// request is a request that may be sent several times.
type request struct {
	method string
	path   string
	query  url.Values
	// body is nil for requests that change nothing.
	body any
	// editID is empty for requests that change nothing.
	editID string
}

// get sends a GET request and decodes the response.
func (c *client) get(ctx context.Context, path string, query url.Values, into any) error {
	return c.do(ctx, request{method: http.MethodGet, path: path, query: query}, into)
}

// do sends the request until an instance gives a final response. A request that may
// have been carried out is repeated with its edit id until its outcome is known.
func (c *client) do(ctx context.Context, r request, into any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	s := &operation{client: c, request: r, into: into}
	retry := backoff.NewExponentialBackOff()
	for round := 1; ; round++ {
		if s.round(ctx) {
			return s.err
		}
		if s.allRefused || round >= maxRounds && !s.mayHaveRun || !sleep(ctx, retry.NextBackOff()) {
			return s.finalError()
		}
	}
}

// sleep waits and returns false if ctx ends first.
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

// operation is the state of one call of do.
type operation struct {
	*client
	request
	into any
	// mayHaveRun is set once an instance may have carried out the change.
	mayHaveRun bool
	// allRefused is set if, in the last round, all addresses refused the request and
	// a retry would not help, but its outcome is still unknown.
	allRefused bool
	err        error
}

// round sends the request to each address in turn until one gives a final response,
// and reports whether one did.
func (s *operation) round(ctx context.Context) bool {
	s.allRefused = true
	for _, address := range s.addresses {
		s.err = s.send(ctx, address)
		if s.err == nil {
			return true
		}
		var refused *refusal
		if !errors.As(s.err, &refused) {
			s.mayHaveRun = s.mayHaveRun || s.editID != "" && !isDialError(s.err)
			s.allRefused = false
			continue
		}
		if s.isFinal(refused) {
			s.err = &failure{code: refused.code(), err: refused}
			return true
		}
		s.allRefused = s.allRefused && refused.code() == codeRefused
	}
	return false
}

// isFinal updates mayHaveRun and reports whether the refusal is a final response.
func (s *operation) isFinal(refused *refusal) bool {
	if refused.code() == codeUnknown {
		s.mayHaveRun = s.mayHaveRun || s.editID != ""
	}
	if s.mayHaveRun {
		return refused.provesNotRun()
	}
	return !answerer.Lookup(refused.Kind).Retryable
}

func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// finalError returns the error of a request without a final response.
func (s *operation) finalError() error {
	if s.mayHaveRun {
		return newFailure(codeUnknown, "the outcome of edit %s is not known; repeat the command with --%s %s: %w",
			s.editID, flagEditID, s.editID, s.err)
	}
	return &failure{code: codeUnreachable, err: s.err}
}

func (s *operation) send(ctx context.Context, address *url.URL) error {
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

func (s *operation) read(answer *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxResponseBytes))
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

// newEditID returns the id of --edit-id or a new one.
func newEditID(cmd *cli.Command) string {
	if id := cmd.String(flagEditID); id != "" {
		return id
	}
	return ulid.Make().String()
}
