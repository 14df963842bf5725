package main

import (
	"context"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"github.com/wigeonstand/wigeonstand/pkg/caller"
)

func newCrowdCmd() *cli.Command {
	return &cli.Command{
		Name:  "crowd",
		Usage: "open programs of the load document that then wait",
		Flags: layoutFlags(
			&cli.IntFlag{Name: "programs", Value: 1000, Usage: "open `N` programs"},
			&cli.IntFlag{Name: "turns", Value: 1, Usage: "take `N` turns of each"},
			&cli.IntFlag{Name: "parallel", Value: 64, Usage: "have `N` requests under way"},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			p, err := newPlayer(c)
			if err != nil {
				return err
			}
			return p.crowd(ctx, c.Int("programs"), c.Int("turns"), c.Int("parallel"))
		},
	}
}

// crowd opens the programs through all entries in turn.
func (p *player) crowd(ctx context.Context, programs, turns, parallel int) error {
	clients := make([]*caller.Client, p.instances)
	for n := range clients {
		client, err := p.client("laulukaar", n)
		if err != nil {
			return err
		}
		clients[n] = client
	}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(parallel)
	for n := range programs {
		group.Go(func() error { return p.sit(ctx, clients[n%len(clients)], turns) })
	}
	return group.Wait()
}

// sit opens one editor's session and takes its first turns.
func (p *player) sit(ctx context.Context, client *caller.Client, turns int) error {
	program, err := client.Open(ctx, "editors")
	if err != nil {
		return eris.Wrap(err, "open")
	}
	for range turns {
		if _, err := program.Ask(ctx, "Please correct line one of the second verse of the song."); err != nil {
			return eris.Wrap(err, "turn")
		}
	}
	return nil
}
