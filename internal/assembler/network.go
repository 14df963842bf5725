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

// dialTimeout bounds each dial, because its context may have no deadline.
const dialTimeout = 3 * time.Second

// tcp implements Network with the sockets of the operating system.
type tcp struct{ net.Dialer }

func newTCP() *tcp { return &tcp{net.Dialer{Timeout: dialTimeout}} }

// Listen implements Network.
func (*tcp) Listen(address netip.AddrPort) (net.Listener, error) {
	return net.Listen("tcp", address.String())
}

// Option configures an instance.
type Option func(*daemon)

// WithNetwork sets the network to use instead of TCP sockets.
func WithNetwork(n Network) Option { return func(d *daemon) { d.network = n } }

// WithBaseContext sets the context whose end stops the instance at once, without a
// graceful shutdown.
func WithBaseContext(ctx context.Context) Option { return func(d *daemon) { d.baseContext = ctx } }
