package registrar

import (
	"net/netip"
	"time"
)

// Endpoint is one model engine or one replica of a plain service, as it
// registered itself. It never changes; a new registration replaces it.
type Endpoint struct {
	// ID names one endpoint; it may come back after a restart.
	ID         string
	Service    string
	Address    netip.AddrPort
	DataCentre string
	// Slots is how many requests it runs at once.
	Slots int
	// Leaving endpoints get no new work.
	Leaving bool
	// Started is when the process behind the ID started; zero if it is not told.
	Started time.Time
}
