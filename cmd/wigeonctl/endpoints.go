package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/wigeonstand/wigeonstand/internal/administrator"
)

const endpointsHelp = `Lists the endpoints as seen by the instance that answers: their health, their load
and the age of the load figures.

Example:

   wigeonctl endpoints`

func newEndpointsCmd() *cli.Command {
	return &cli.Command{
		Name: "endpoints", Usage: "list the endpoints",
		Description: endpointsHelp,
		Action:      endpoints,
	}
}

func endpoints(ctx context.Context, cmd *cli.Command) error {
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	var view administrator.EndpointsView
	if err := c.get(ctx, administrator.PathEndpoints, nil, &view); err != nil {
		return err
	}
	return print(cmd, view, func(p *textWriter) {
		var lines []string
		for _, e := range view.Endpoints {
			serves := e.Service
			if serves == "" {
				serves = joinOr(e.Models, "-")
			}
			load := fmt.Sprintf("%d+%d/%d", e.Running, e.Waiting, e.Slots)
			cache := fmt.Sprintf("%d/%d", e.CacheTokens, e.CacheLimit)
			lines = append(lines, row(e.Name, e.Address, e.DataCentre, serves, e.State, load, e.Outstanding, cache, e.ReportAge))
		}
		p.table(row("ENDPOINT", "ADDRESS", "DATA CENTRE", "SERVES", "STATE", "RUNNING+WAITING/SLOTS", "OWN", "CACHE", "AGE"), lines)
	})
}
