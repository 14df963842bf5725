package assembler

import (
	"context"
	"net"
	"net/netip"
	"time"
)

// Network opens the listeners and connections of one instance.
type Network interface {
	Listen(address netip.AddrPort) (net.Listener, error)
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// dialTimeout bounds a connection's opening, whose context may have no end.
const dialTimeout = 3 * time.Second

// tcp is the machine's own network.
type tcp struct{ net.Dialer }

func newTCP() *tcp { return &tcp{net.Dialer{Timeout: dialTimeout}} }

// Listen implements Network.
func (*tcp) Listen(address netip.AddrPort) (net.Listener, error) {
	return net.Listen("tcp", address.String())
}

// Option sets one property of an instance.
type Option func(*daemon)

// WithNetwork replaces the machine's network.
func WithNetwork(n Network) Option { return func(d *daemon) { d.network = n } }

// WithBaseContext sets the context that ends the instance at once, without a planned stop.
func WithBaseContext(ctx context.Context) Option { return func(d *daemon) { d.baseContext = ctx } }
