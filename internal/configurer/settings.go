// Package configurer reads and checks the settings file of one instance: its
// addresses, data centre, certificates and limits. The operators' document,
// which is the same for all instances, is read by package compiler.
package configurer

import (
	"net/netip"
	"time"
)

// Settings is the settings file of one instance.
type Settings struct {
	// Instance is the instance's name, unique among all running instances.
	Instance   string `validate:"name"`
	DataCentre string `validate:"name"`
	// CallerListen, OperatorListen, PeerListen and AdminListen are the
	// addresses of the listeners for callers, operators, other instances, and
	// health and metrics.
	CallerListen   netip.AddrPort `validate:"required"`
	OperatorListen netip.AddrPort `validate:"required"`
	PeerListen     netip.AddrPort `validate:"required"`
	AdminListen    netip.AddrPort `validate:"required"`
	// PeerAddress is the address at which other instances dial PeerListen. The
	// default is PeerListen.
	PeerAddress netip.AddrPort
	Platform    Platform
	// CallerTLS, OperatorTLS, PeerTLS and EndpointTLS hold the certificates for
	// connections with callers, operators, other instances and endpoints.
	CallerTLS   TLS
	OperatorTLS TLS
	PeerTLS     TLS
	EndpointTLS TLS
	// BootstrapOperatorHash is the hash of a key that has all rights while the
	// document has no operators; empty for none.
	BootstrapOperatorHash string `validate:"omitempty,keyhash"`
	Limits                Limits
	Lease                 Lease
	Commit                Commit
	Store                 Store
	// DrainTimeout bounds a planned stop; requests still in flight after it are
	// aborted.
	DrainTimeout time.Duration `validate:"min=1s"`
	// DrainGrace is how long the instance continues to serve after it reports
	// that it is not ready.
	DrainGrace time.Duration `validate:"min=0s"`
	Log        Log
	Document   Document
}

// Platform configures connections to the platform's service.
type Platform struct {
	Address netip.AddrPort `validate:"required"`
	// KeyFile is the path of the file with the bearer key for the platform.
	KeyFile string `validate:"required"`
	// CAFile is the path of the CA certificates that verify the platform's
	// certificate; empty for those of the system.
	CAFile string
	// TLS reports whether the platform is dialled with TLS.
	TLS bool
}

// TLS names the PEM files of one side of a connection. The connection uses TLS
// unless Insecure is set.
type TLS struct {
	Certificate string
	Key         string
	// CA is the file of the certificates that verify the peer's certificate.
	CA string
	// Insecure turns TLS off. In EndpointTLS it only excludes the files: the
	// document says which endpoints are dialled with TLS.
	Insecure bool
}

// Limits bounds the requests of callers and operators, and the commit backlog.
type Limits struct {
	BodyBytes     int           `validate:"min=1024"`
	HeaderBytes   int           `validate:"min=1024"`
	HeaderTimeout time.Duration `validate:"min=1ms"`
	IdleTimeout   time.Duration `validate:"min=1ms"`
	// BacklogBytes bounds the data that waits for a durable commit.
	BacklogBytes int `validate:"min=1024"`
}

// Lease configures the timing of the instance's lease.
type Lease struct {
	TTL   time.Duration `validate:"min=100ms"`
	Renew time.Duration `validate:"min=10ms,ltfield=TTL"`
}

// Commit configures the timing of the group commit.
type Commit struct {
	Interval time.Duration `validate:"min=1ms"`
}

// Store configures the request rate that the platform's store permits and this
// instance's share of it.
type Store struct {
	// WritesPerSecond and ReadsPerSecond are the limits of the whole platform.
	WritesPerSecond int `validate:"min=1"`
	ReadsPerSecond  int `validate:"min=1"`
	// ShareOf is the number of instances that share the rates.
	ShareOf int `validate:"min=1"`
}

// The formats of the log.
const (
	LogText = "Text"
	LogJSON = "JSON"
)

// Log configures the log.
type Log struct {
	Format string `validate:"oneof=Text JSON"`
	Level  string `validate:"oneof=Debug Info Warn Error"`
}

// Document configures the polling of the operators' document.
type Document struct {
	PollInterval time.Duration `validate:"min=10ms"`
}
