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

// instanceTimeout bounds the request for the program count of one instance.
const instanceTimeout = 3 * time.Second

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
		administrator.WithDoer(idempotentDoer{d.forwarder}), administrator.WithFleet(fleet{d}), administrator.WithEndpointLister(endpointLister{d}),
		administrator.WithBootstrapKeyHash(d.settings.BootstrapOperatorHash), administrator.WithMaxBodyBytes(d.settings.Limits.BodyBytes),
		administrator.WithLogger(d.log), administrator.WithMeter(d.meter))
	return nil
}

// fleet lists the instances of the fleet and sends them commands of operators.
type fleet struct{ daemon *daemon }

// Instances implements administrator.Fleet.
func (f fleet) Instances(ctx context.Context) ([]administrator.Instance, error) {
	g := f.daemon.generation.Load()
	if g == nil {
		return nil, answerer.New(answerer.OwnerUnavailable, "this instance holds no lease")
	}
	members := g.placer.Members()
	described := make(chan administrator.Instance, len(members))
	for _, m := range members {
		f.daemon.work.Go(func() { described <- f.describe(ctx, m) })
	}
	instances := make([]administrator.Instance, 0, len(members))
	for range members {
		instances = append(instances, <-described)
	}
	return instances, nil
}

// describe returns the member's lease and heartbeat data and, if the instance answers
// within instanceTimeout, its number of programs.
func (f fleet) describe(ctx context.Context, m placer.Member) administrator.Instance {
	address, _ := netip.ParseAddrPort(m.Lease.Address)
	instance := administrator.Instance{
		Name: m.Lease.Instance, Address: address, DataCentre: m.Lease.DataCentre,
		Version: m.DocumentVersion, Leaving: m.Leaving,
	}
	ctx, cancel := context.WithTimeout(ctx, instanceTimeout)
	defer cancel()
	reply, err := f.do(ctx, m, requester.Command{Request: newRequestID(), List: &requester.List{Kind: requester.ListCount}})
	if err != nil || reply.List == nil {
		return instance
	}
	instance.Reachable = true
	instance.Programs = reply.List.Count
	return instance
}

// Do implements administrator.Fleet.
func (f fleet) Do(ctx context.Context, instance string, command requester.Command) (requester.Reply, error) {
	g := f.daemon.generation.Load()
	if g == nil {
		return requester.Reply{}, answerer.New(answerer.OwnerUnavailable, "this instance holds no lease")
	}
	for _, m := range g.placer.Members() {
		if m.Lease.Instance == instance {
			return f.do(ctx, m, command)
		}
	}
	return requester.Reply{}, answerer.New(answerer.NotFound, "instance %q is not known", instance)
}

func (f fleet) do(ctx context.Context, m placer.Member, command requester.Command) (requester.Reply, error) {
	if m.Lease.Instance == f.daemon.settings.Instance {
		return localDoer(f).Do(ctx, command, discardSink{})
	}
	return f.daemon.peerClient.Do(ctx, m.Lease.Address, command)
}

// Drain implements administrator.Fleet.
func (f fleet) Drain(ctx context.Context, instance string) error {
	_, err := f.Do(ctx, instance, requester.Command{Request: newRequestID(), Drain: &requester.Drain{}})
	return err
}

// endpointLister lists the endpoints with their state as this instance sees it.
type endpointLister struct{ daemon *daemon }

// Endpoints implements administrator.EndpointLister.
func (e endpointLister) Endpoints(context.Context) ([]administrator.Endpoint, error) {
	version := e.daemon.follower.Current()
	list := make([]administrator.Endpoint, 0, len(version.Endpoints))
	for _, configured := range version.Endpoints {
		endpoint := administrator.Endpoint{
			Name: configured.Name, Address: configured.Address, DataCentre: configured.DataCentre,
			Service: configured.Service, Models: configured.Models, State: "Healthy", Slots: configured.Slots,
		}
		if v, ok := e.daemon.prober.View(configured.Name); ok {
			endpoint.State = endpointState(v)
			endpoint.Running, endpoint.Waiting, endpoint.ReportAge = v.Running, v.Waiting, v.Age
		}
		list = append(list, endpoint)
	}
	return list, nil
}

// newRequestID returns an id for a request that this instance issues itself.
func newRequestID() string { return ulid.Make().String() }
