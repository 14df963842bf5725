package assembler

import (
	"context"
	"net/netip"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/rotisserie/eris"

	"github.com/wigeonstand/wigeonstand/internal/administrator"
	"github.com/wigeonstand/wigeonstand/internal/answerer"
	"github.com/wigeonstand/wigeonstand/internal/placer"
	"github.com/wigeonstand/wigeonstand/internal/publisher"
	"github.com/wigeonstand/wigeonstand/internal/requester"
)

// fleetTimeout bounds what is asked of one other instance.
const fleetTimeout = 3 * time.Second

func (d *daemon) buildAdministrator() error {
	certs, err := newCertifier(d.settings.OperatorTLS, d.log)
	if err != nil {
		return eris.Wrap(err, "operator certificates")
	}
	if certs != nil {
		d.operatorTLS = certs.ServerConfig()
	}
	accepted := publisher.WithOnAccepted(func(number int64) { d.follower.ObserveVersion(number, d.settings.Instance) })
	d.administrator = administrator.New(publisher.New(d.store, d.store, accepted), d.follower,
		administrator.WithDoer(entry{d.forwarder}), administrator.WithFleet(fleet{d}), administrator.WithEndpoints(endpoints{d}),
		administrator.WithBootstrap(d.settings.BootstrapOperatorHash), administrator.WithBodyBytes(d.settings.Limits.BodyBytes),
		administrator.WithLogger(d.log), administrator.WithMeter(d.meter))
	return nil
}

// fleet reaches the instances for operators.
type fleet struct{ daemon *daemon }

// Instances implements administrator.Fleet.
func (f fleet) Instances(ctx context.Context) ([]administrator.Instance, error) {
	t := f.daemon.tenure.Load()
	if t == nil {
		return nil, answerer.New(answerer.OwnerUnavailable, "this instance holds no lease")
	}
	members := t.placer.Members()
	answers := make(chan administrator.Instance, len(members))
	for _, m := range members {
		f.daemon.work.Go(func() { answers <- f.ask(ctx, m) })
	}
	instances := make([]administrator.Instance, 0, len(members))
	for range members {
		instances = append(instances, <-answers)
	}
	return instances, nil
}

// ask completes what is known of an instance with what it says itself.
func (f fleet) ask(ctx context.Context, m placer.Member) administrator.Instance {
	address, _ := netip.ParseAddrPort(m.Lease.Address)
	instance := administrator.Instance{
		Name: m.Lease.Instance, Address: address, DataCentre: m.Lease.DataCentre,
		Version: m.DocumentVersion, Leaving: m.Leaving,
	}
	ctx, cancel := context.WithTimeout(ctx, fleetTimeout)
	defer cancel()
	reply, err := f.do(ctx, m, requester.Command{Request: newRequest(), List: &requester.List{Kind: requester.ListCount}})
	if err != nil || reply.List == nil {
		return instance
	}
	instance.Reachable = true
	instance.Programs = reply.List.Count
	return instance
}

// Do implements administrator.Fleet.
func (f fleet) Do(ctx context.Context, instance string, command requester.Command) (requester.Reply, error) {
	t := f.daemon.tenure.Load()
	if t == nil {
		return requester.Reply{}, answerer.New(answerer.OwnerUnavailable, "this instance holds no lease")
	}
	for _, m := range t.placer.Members() {
		if m.Lease.Instance == instance {
			return f.do(ctx, m, command)
		}
	}
	return requester.Reply{}, answerer.New(answerer.NotFound, "instance %q is not known", instance)
}

func (f fleet) do(ctx context.Context, m placer.Member, command requester.Command) (requester.Reply, error) {
	if m.Lease.Instance == f.daemon.settings.Instance {
		return local(f).Do(ctx, command, discard{})
	}
	return f.daemon.peers.Do(ctx, m.Lease.Address, command)
}

// Drain implements administrator.Fleet.
func (f fleet) Drain(ctx context.Context, instance string) error {
	_, err := f.Do(ctx, instance, requester.Command{Request: newRequest(), Drain: &requester.Drain{}})
	return err
}

// endpoints describes the endpoints for operators as this instance sees them.
type endpoints struct{ daemon *daemon }

// Endpoints implements administrator.Endpoints.
func (e endpoints) Endpoints(context.Context) ([]administrator.Endpoint, error) {
	version := e.daemon.follower.Current()
	all := make([]administrator.Endpoint, 0, len(version.Endpoints))
	for _, described := range version.Endpoints {
		endpoint := administrator.Endpoint{
			Name: described.Name, Address: described.Address, DataCentre: described.DataCentre,
			Service: described.Service, Models: described.Models, State: "Healthy", Slots: described.Slots,
		}
		if v, ok := e.daemon.prober.View(described.Name); ok {
			endpoint.State = stateOf(v)
			endpoint.Running, endpoint.Waiting, endpoint.ReportAge = v.Running, v.Waiting, v.Age
		}
		all = append(all, endpoint)
	}
	return all, nil
}

// newRequest returns the id of a request that this instance makes itself.
func newRequest() string { return ulid.Make().String() }
