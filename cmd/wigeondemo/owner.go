package main

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/wigeonstand/wigeonstand/internal/certifier"
	"github.com/wigeonstand/wigeonstand/internal/connector"
	"github.com/wigeonstand/wigeonstand/internal/placer"
	"github.com/wigeonstand/wigeonstand/internal/requester"
)

func newOwnerCmd() *cli.Command {
	return &cli.Command{
		Name:  "owner",
		Usage: "print the number of the instance that owns a posting's key, from 0",
		Description: `Example:
  wigeondemo owner --business laulukaar --key fee-1`,
		Flags: layoutFlags(
			&cli.StringFlag{Name: "business", Value: "laulukaar", Usage: "the `NAME` of the business that posts"},
			&cli.StringFlag{Name: "key", Required: true, Usage: "the posting's `KEY`"},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			p, err := newPlayer(c)
			if err != nil {
				return err
			}
			return p.owner(ctx, c.String("business"), c.String("key"))
		},
	}
}

// owner reads the shard map from the platform's table.
func (p *player) owner(ctx context.Context, business, key string) error {
	shards, err := p.shardMap(ctx)
	if err != nil {
		return err
	}
	owner := shards.Owner(requester.ShardOf(requester.CallRoutingKey(business, key)))
	n := slices.IndexFunc(p.all(), func(i instance) bool { return i.Name == owner.Instance })
	if n < 0 {
		return eris.Errorf("the key's shard has no owner: %+v", owner)
	}
	p.say("%d", n)
	return nil
}

func (p *player) shardMap(ctx context.Context) (placer.ShardMap, error) {
	var shards placer.ShardMap
	key, err := p.secret("platform")
	if err != nil {
		return shards, err
	}
	certs, err := certifier.New(certifier.Files{Authority: p.directory + "/authority.pem"})
	if err != nil {
		return shards, err
	}
	table := connector.New("https://"+p.at(portPlatform).String(), connector.WithKey(key), connector.WithTLS(certs.ClientConfig()))
	defer table.Close()
	rows, err := table.Read(ctx, placer.ShardMapKey)
	if err != nil {
		return shards, err
	}
	return shards, eris.Wrap(json.Unmarshal(rows[0].Value, &shards), "decode the shard map")
}
