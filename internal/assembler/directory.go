package assembler

import (
	"context"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/wigeonstand/wigeonstand/internal/forwarder"
	"github.com/wigeonstand/wigeonstand/internal/storer"
)

// peerDirectory caches the peer addresses from the platform's last listing of
// instances, so that they are available while the platform is not. It is safe for
// concurrent use.
type peerDirectory struct {
	self   string
	lister storer.Lister

	mu        sync.Mutex
	addresses map[string]string
}

func newPeerDirectory(self string, lister storer.Lister) *peerDirectory {
	return &peerDirectory{self: self, lister: lister, addresses: map[string]string{}}
}

func (d *peerDirectory) refresh(ctx context.Context) {
	listings, err := d.lister.Instances(ctx)
	if err != nil {
		return
	}
	addresses := map[string]string{}
	for _, listing := range listings {
		if listing.Instance != d.self {
			addresses[listing.Instance] = listing.Address
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.addresses = addresses
}

func (d *peerDirectory) address(ctx context.Context, instance string) (string, error) {
	for range 2 {
		d.mu.Lock()
		address := d.addresses[instance]
		d.mu.Unlock()
		if address != "" {
			return address, nil
		}
		d.refresh(ctx)
	}
	return "", eris.Errorf("instance %s is not listed", instance)
}

func (d *peerDirectory) instances() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	names := make([]string, 0, len(d.addresses))
	for name := range d.addresses {
		names = append(names, name)
	}
	return names
}

// documentPeer implements publisher.Peer.
type documentPeer struct{ daemon *daemon }

// FetchDocument implements publisher.Peer.
func (p documentPeer) FetchDocument(ctx context.Context, instance string) ([]byte, error) {
	address, err := p.daemon.peerDirectory.address(ctx, instance)
	if err != nil {
		return nil, err
	}
	_, body, err := p.daemon.peerClient.FetchDocument(ctx, address, 0)
	return body, err
}

// Instances implements publisher.Peer.
func (p documentPeer) Instances() []string {
	known := p.daemon.peerDirectory.instances()
	if len(known) == 0 {
		p.daemon.peerDirectory.refresh(context.Background())
		known = p.daemon.peerDirectory.instances()
	}
	return known
}

// documentSource serves this instance's current document to other instances.
type documentSource struct{ daemon *daemon }

// Document implements forwarder.DocumentSource.
func (ds documentSource) Document(context.Context, int64) (int64, []byte, error) {
	body, err := ds.daemon.follower.Encode()
	if err != nil {
		return 0, nil, err
	}
	return ds.daemon.follower.Current().Number, body, nil
}

// heartbeater sends heartbeats and passes the document versions in the replies to the
// follower.
type heartbeater struct{ daemon *daemon }

// Heartbeat implements placer.Heartbeater.
func (h heartbeater) Heartbeat(ctx context.Context, address string, beat forwarder.Heartbeat) (forwarder.Heartbeat, error) {
	reply, err := h.daemon.peerClient.Heartbeat(ctx, address, beat)
	if err == nil {
		h.daemon.follower.ObserveVersion(reply.DocumentVersion, reply.Instance)
	}
	return reply, err
}
