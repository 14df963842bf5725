package main

import (
	"context"
	"encoding/json"
	"os"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"
)

func newEditCmd() *cli.Command {
	return &cli.Command{
		Name:  "edit",
		Usage: "take some turns of several editors' sessions, opening them at turn 1",
		Description: `edit keeps the programs' ids in a file, so that the sessions go on after an
instance was killed. The entries named by --entry are used in turn.

Example:
  wigeondemo edit --from 1 --to 3 --state run/sessions.json
  wigeondemo edit --from 4 --to 5 --entry 1 --entry 2 --state run/sessions.json`,
		Flags: layoutFlags(
			&cli.IntFlag{Name: "from", Value: 1, Usage: "begin with turn `N`"},
			&cli.IntFlag{Name: "to", Value: 5, Usage: "end with turn `N`"},
			&cli.IntFlag{Name: "sessions", Value: 6, Usage: "open `N` sessions"},
			&cli.IntSliceFlag{Name: "entry", Value: []int{0, 1, 2}, Usage: "use the entry instance `N`, from 0; may be repeated"},
			&cli.StringFlag{Name: "state", Value: "run/sessions.json", Usage: "keep the programs' ids in `FILE`"},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			p, err := newPlayer(c)
			if err != nil {
				return err
			}
			return p.edit(ctx, c)
		},
	}
}

func (p *player) edit(ctx context.Context, c *cli.Command) error {
	entries := c.IntSlice("entry")
	ids, err := p.sessions(ctx, c)
	if err != nil {
		return err
	}
	for turn := c.Int("from"); turn <= c.Int("to"); turn++ {
		for n, id := range ids {
			if err := p.take(ctx, "laulukaar", id, turn, entries[(turn+n)%len(entries)]); err != nil {
				return err
			}
		}
	}
	for _, id := range ids {
		if err := p.checkThrough(ctx, id, c.Int("to"), entries[0]); err != nil {
			return err
		}
	}
	return nil
}

// sessions opens the programs before turn 1 and reads their ids later.
func (p *player) sessions(ctx context.Context, c *cli.Command) ([]string, error) {
	var ids []string
	if c.Int("from") > 1 {
		body, err := os.ReadFile(c.String("state"))
		if err != nil {
			return nil, eris.Wrap(err, "read state")
		}
		return ids, eris.Wrap(json.Unmarshal(body, &ids), "decode state")
	}
	entries := c.IntSlice("entry")
	for n := range c.Int("sessions") {
		id, err := p.open(ctx, "laulukaar", "lyric-editor", entries[n%len(entries)])
		if err != nil {
			return nil, err
		}
		ids = append(ids, id)
	}
	body, err := json.Marshal(ids)
	if err != nil {
		return nil, err
	}
	return ids, eris.Wrap(os.WriteFile(c.String("state"), body, secretMode), "write state")
}
