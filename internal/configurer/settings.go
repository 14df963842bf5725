// Package configurer owns the settings file of one daemon: its addresses, its
// data centre, its certificates and its limits. It does not own the operators'
// document, which is the same for all instances.
package configurer

import (
	"net/netip"
	"time"
)

// Settings is what one instance is told when it starts.
type Settings struct {
	// Instance is the instance's name, unique among all that run at once.
	Instance   string `validate:"name"`
	DataCentre string `validate:"name"`
	// CallerListen, OperatorListen, PeerListen and AdminListen are the
	// addresses of the listeners for callers, operators, other instances, and
	// health and metrics.
	CallerListen   netip.AddrPort `validate:"required"`
	OperatorListen netip.AddrPort `validate:"required"`
	PeerListen     netip.AddrPort `validate:"required"`
	AdminListen    netip.AddrPort `validate:"required"`
	// PeerAddress is where other instances reach PeerListen; PeerListen if absent.
	PeerAddress netip.AddrPort
	Platform    Platform
	// CallerTLS, OperatorTLS, PeerTLS and EndpointTLS hold the certificates by
	// the other end of the connection.
	CallerTLS   TLS
	OperatorTLS TLS
	PeerTLS     TLS
	EndpointTLS TLS
	// BootstrapOperatorHash is the hash of a key that may do everything while
	// the document has no operators; empty for none.
	BootstrapOperatorHash string `validate:"omitempty,keyhash"`
	Limits                Limits
	Lease                 Lease
	Commit                Commit
	Store                 Store
	// DrainTimeout bounds a planned stop; what is in flight then is cut.
	DrainTimeout time.Duration `validate:"min=1s"`
	// DrainGrace is how long the instance still serves after it reports that
	// it is not ready.
	DrainGrace time.Duration `validate:"min=0s"`
	Log        Log
	Document   Document
}

// Platform is how the platform's service is reached.
type Platform struct {
	Address netip.AddrPort `validate:"required"`
	// KeyFile holds the bearer key for the platform.
	KeyFile string `validate:"required"`
	// CAFile holds the certificates that the platform's is checked against;
	// empty for those of the system.
	CAFile string
	// TLS says whether the platform is dialled with TLS.
	TLS bool
}

// TLS names the PEM files of one side of a connection. Without Insecure the
// connection uses TLS.
type TLS struct {
	Certificate string
	Key         string
	// CA holds the certificates that the other end's is checked against.
	CA string
	// Insecure turns TLS off. For endpoints it permits those that the document
	// says are dialled without TLS.
	Insecure bool
}

// Limits bounds what callers and operators may send, and what may wait.
type Limits struct {
	BodyBytes     int           `validate:"min=1024"`
	HeaderBytes   int           `validate:"min=1024"`
	HeaderTimeout time.Duration `validate:"min=1ms"`
	IdleTimeout   time.Duration `validate:"min=1ms"`
	// BacklogBytes bounds what waits to be made durable.
	BacklogBytes int `validate:"min=1024"`
}

// Lease is the timing of the instance's lease.
type Lease struct {
	TTL   time.Duration `validate:"min=100ms"`
	Renew time.Duration `validate:"min=10ms,ltfield=TTL"`
}

// Commit is the timing of the group commit.
type Commit struct {
	Interval time.Duration `validate:"min=1ms"`
}

// Store is the rate that the platform's store allows, and this instance's part of it.
type Store struct {
	// WritesPerSecond and ReadsPerSecond are of the whole platform.
	WritesPerSecond int `validate:"min=1"`
	ReadsPerSecond  int `validate:"min=1"`
	// ShareOf is the number of instances that the rates are shared among.
	ShareOf int `validate:"min=1"`
}

// The formats of the log.
const (
	LogText = "Text"
	LogJSON = "JSON"
)

// Log is how the log is written.
type Log struct {
	Format string `validate:"oneof=Text JSON"`
	Level  string `validate:"oneof=Debug Info Warn Error"`
}

// Document is how the instance follows the operators' document.
type Document struct {
	PollInterval time.Duration `validate:"min=10ms"`
}
