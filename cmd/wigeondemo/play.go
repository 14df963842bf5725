package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/wigeonstand/wigeonstand/internal/certifier"
	"github.com/wigeonstand/wigeonstand/internal/storer"
	"github.com/wigeonstand/wigeonstand/pkg/caller"
)

const (
	readyTimeout = 60 * time.Second
	readyPoll    = 200 * time.Millisecond
	callTimeout  = 30 * time.Second
	idlePerHost  = 64
)

// player plays the callers of the demonstration.
type player struct {
	layout
	out  io.Writer
	http *http.Client
}

func newPlayer(c *cli.Command) (*player, error) {
	l := layoutOf(c)
	certs, err := certifier.New(certifier.Files{Authority: l.directory + "/authority.pem"})
	if err != nil {
		return nil, err
	}
	transport := &http.Transport{TLSClientConfig: certs.ClientConfig(), MaxIdleConnsPerHost: idlePerHost}
	return &player{layout: l, out: c.Root().Writer, http: &http.Client{Transport: transport}}, nil
}

// secret returns the key of one party.
func (p *player) secret(name string) (string, error) {
	body, err := os.ReadFile(keyFile(p.directory, name))
	return strings.TrimSpace(string(body)), eris.Wrap(err, "read key")
}

// client returns a client of the business that uses one entry instance first.
func (p *player) client(business string, entry int) (*caller.Client, error) {
	key, err := p.secret(business)
	if err != nil {
		return nil, err
	}
	all := p.all()
	return caller.New([]string{"https://" + all[entry%len(all)].Caller.String()}, key,
		caller.WithHTTPClient(p.http), caller.WithTimeout(callTimeout), caller.WithAttempts(50))
}

func (p *player) say(format string, args ...any) { _, _ = fmt.Fprintf(p.out, format+"\n", args...) }

func newRegisterCmd() *cli.Command {
	return &cli.Command{
		Name:  "register",
		Usage: "enter the instances into the platform's list, as their launcher would",
		Flags: layoutFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			p, err := newPlayer(c)
			if err != nil {
				return err
			}
			return p.register(ctx)
		},
	}
}

func (p *player) register(ctx context.Context) error {
	key, err := p.secret("platform")
	if err != nil {
		return err
	}
	for _, i := range p.all() {
		body, err := json.Marshal(storer.Listing{Instance: i.Name, Address: i.Peer.String(), DataCentre: i.DataCentre})
		if err != nil {
			return err
		}
		url := "https://" + i.Platform.String() + storer.PathInstances
		err = p.until(ctx, func() error { return p.send(ctx, http.MethodPost, url, key, body) })
		if err != nil {
			return err
		}
	}
	return nil
}

// until repeats try until it succeeds or the time is up.
func (p *player) until(ctx context.Context, try func() error) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		err := try()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(readyPoll):
		}
	}
}

func (p *player) send(ctx context.Context, method, url, key string, body []byte) error {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	response, err := p.http.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(response.Body)
	if response.StatusCode >= http.StatusMultipleChoices {
		return eris.Errorf("%s: %s: %s", url, response.Status, bytes.TrimSpace(text))
	}
	return nil
}

func newReadyCmd() *cli.Command {
	return &cli.Command{
		Name:  "ready",
		Usage: "wait until every instance is ready",
		Flags: layoutFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			p, err := newPlayer(c)
			if err != nil {
				return err
			}
			for _, i := range p.all() {
				url := "http://" + i.Admin.String() + "/readyz"
				if err := p.until(ctx, func() error { return p.send(ctx, http.MethodGet, url, "", nil) }); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

func newPlayCmd() *cli.Command {
	return &cli.Command{
		Name:  "play",
		Usage: "play an editor's session, a chat with a sub-agent and a fee posting",
		Flags: layoutFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			p, err := newPlayer(c)
			if err != nil {
				return err
			}
			for _, scene := range []func(context.Context) error{p.session, p.chat, p.posting} {
				if err := scene(ctx); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

// session takes five turns of an editor's session, each through the next entry.
func (p *player) session(ctx context.Context) error {
	p.say("an editor's session of five turns, each through another entry instance:")
	id, err := p.open(ctx, "laulukaar", "lyric-editor", 0)
	if err != nil {
		return err
	}
	for turn := 1; turn <= 5; turn++ {
		if err := p.take(ctx, "laulukaar", id, turn, turn); err != nil {
			return err
		}
	}
	return p.checkThrough(ctx, id, 5, 0)
}

func (p *player) open(ctx context.Context, business, agent string, entry int, options ...caller.OpenOption) (string, error) {
	client, err := p.client(business, entry)
	if err != nil {
		return "", err
	}
	program, err := client.Open(ctx, agent, options...)
	if err != nil {
		return "", eris.Wrapf(err, "open %s", agent)
	}
	p.say("  program %s opened through %s", program.ID(), p.entryName(entry))
	return program.ID(), nil
}

func (p *player) entryName(entry int) string { return p.name(entry % p.instances) }

// take streams one turn and counts the chunks that came before the end.
func (p *player) take(ctx context.Context, business, id string, turn, entry int) error {
	client, err := p.client(business, entry)
	if err != nil {
		return err
	}
	input := fmt.Sprintf("Please correct line %d of the second verse.", turn)
	stream, err := client.Program(id).Stream(ctx, input, caller.WithNumber(turn))
	if err != nil {
		return eris.Wrapf(err, "turn %d", turn)
	}
	defer stream.Close()
	chunks := 0
	for stream.Next() {
		chunks++
	}
	if err := stream.Err(); err != nil {
		return eris.Wrapf(err, "turn %d", turn)
	}
	answer := stream.Answer()
	p.say("  turn %d through %s: %d chunks, %d tokens of which %d were cached, chain %s",
		answer.Number, p.entryName(entry), chunks, answer.Usage.Prompt+answer.Usage.Generated, answer.Usage.Cached, answer.Chain[:8])
	return nil
}

// checkThrough reads the history through the entry and fails unless all turns
// are there in order.
func (p *player) checkThrough(ctx context.Context, id string, turns, entry int) error {
	client, err := p.client("laulukaar", entry)
	if err != nil {
		return err
	}
	history, err := client.Program(id).History(ctx, 0)
	if err != nil {
		return eris.Wrap(err, "history")
	}
	if len(history.Turns) != turns {
		return eris.Errorf("the history of %s has %d turns in place of %d", id, len(history.Turns), turns)
	}
	for n, turn := range history.Turns {
		if turn.Number != n+1 || turn.Text == "" {
			return eris.Errorf("turn %d of %s is %+v", n+1, id, turn)
		}
	}
	p.say("  the history of %s is whole: %d turns", id, turns)
	return nil
}

// chat runs a menu-trim chat whose sub-agent shares its budget.
func (p *player) chat(ctx context.Context) error {
	p.say("a menu-trim chat with a sub-agent:")
	root, err := p.open(ctx, "binfold", "menu-trim", 1)
	if err != nil {
		return err
	}
	if err := p.take(ctx, "binfold", root, 1, 2); err != nil {
		return err
	}
	client, err := p.client("binfold", 0)
	if err != nil {
		return err
	}
	child, err := p.open(ctx, "binfold", "tray-tally", 0, caller.WithParent(client.Program(root)))
	if err != nil {
		return err
	}
	if err := p.take(ctx, "binfold", child, 1, 1); err != nil {
		return err
	}
	if err := p.take(ctx, "binfold", root, 2, 0); err != nil {
		return err
	}
	ended, err := client.Program(root).End(ctx)
	if err != nil {
		return eris.Wrap(err, "end")
	}
	p.say("  the tree ended, %d tokens spent", ended.Spent)
	return nil
}

// posting posts one fee twice with the same key through different entries.
func (p *player) posting(ctx context.Context) error {
	p.say("a fee posting, sent twice with one key through different entry instances:")
	key := "fee-" + time.Now().Format("150405.000000000")
	for entry := range 2 {
		client, err := p.client("laulukaar", entry)
		if err != nil {
			return err
		}
		result, err := client.Call(ctx, "fee-posting", http.MethodPost, "/postings",
			caller.WithCallKey(key), caller.WithBody("application/json", []byte(`{"Venue":"baar-12","Cents":250}`)))
		if err != nil {
			return eris.Wrap(err, "fee posting")
		}
		if result.Replayed != (entry == 1) {
			return eris.Errorf("posting %d was replayed: %v", entry+1, result.Replayed)
		}
		p.say("  through %s: status %d, replayed %v", p.entryName(entry), result.Status, result.Replayed)
	}
	return nil
}
