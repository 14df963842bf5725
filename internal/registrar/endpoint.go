package registrar

import (
	"net/netip"
	"time"
)

// Endpoint is the registration of one model engine or one replica of a plain
// service. It is immutable; a new registration replaces it.
type Endpoint struct {
	// ID identifies the endpoint; it may be reused after a restart.
	ID         string
	Service    string
	Address    netip.AddrPort
	DataCentre string
	// Version is that of the endpoint's software. Versions have no order.
	Version string
	// Slots is the number of requests that it runs concurrently.
	Slots int
	// Leaving is true if the endpoint accepts no new requests.
	Leaving bool
	// Started is the start time of the process; zero if unknown.
	Started time.Time
}
