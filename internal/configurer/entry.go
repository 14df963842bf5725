package configurer

import (
	"net/netip"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonstand/wigeonstand/internal/loader"
)

// EntrySettings is what one instance on the users' platform is told when it starts.
type EntrySettings struct {
	// Instance is the instance's name, unique among all that run at once.
	Instance   string `validate:"name"`
	DataCentre string `validate:"name"`
	// CallerListen, ReadyListen, PeerListen and AdminListen are the addresses
	// of the listeners for callers, the balancer's readiness checks, other
	// instances, and metrics.
	CallerListen netip.AddrPort `validate:"required"`
	ReadyListen  netip.AddrPort `validate:"required"`
	PeerListen   netip.AddrPort `validate:"required"`
	AdminListen  netip.AddrPort `validate:"required"`
	// PeerAddress is where other instances reach PeerListen; PeerListen if absent.
	PeerAddress netip.AddrPort
	// Seeds are where some other instances were to be reached when the settings
	// were written. They are asked while the store is out of reach.
	Seeds []netip.AddrPort
	// StoreAddress is that of the platform's store.
	StoreAddress netip.AddrPort `validate:"required"`
	// MemoryMB is the memory that the process may use, in megabytes.
	MemoryMB int `validate:"min=16"`
	// StoreWrites is the number of transactions that the store takes in a second
	// from all instances.
	StoreWrites float64 `validate:"min=1"`
	// OnePartition is true for a store whose transactions are of one partition.
	OnePartition bool
	// Cores is the number of processor cores, and CoreShare the part of each
	// that the process may use.
	Cores     int     `validate:"min=1"`
	CoreShare float64 `validate:"gt=0,max=1"`
	// GracePeriod is the time between the order to stop and the process's end.
	GracePeriod time.Duration `validate:"min=1s"`
	Log         EntryLog
	Admission   Admission
	Placement   Placement
}

// EntryLog is what is logged and how.
type EntryLog struct {
	Format string `validate:"oneof=Text JSON"`
	Level  string `validate:"oneof=Debug Info Warn Error"`
	// ServedShare is the share of programs, and of requests outside of programs,
	// whose served requests are logged. Failed ones always are.
	ServedShare float64 `validate:"min=0,max=1"`
}

// Admission is up to which load work is taken.
type Admission struct {
	// NewPrograms is the mean load of the engines, in requests per slot, above
	// which new programs are turned away, the more of them the higher the load;
	// 0 for no limit.
	NewPrograms float64 `validate:"min=0"`
	// NoPrograms is the mean load from which all of them are turned away.
	NoPrograms float64 `validate:"gtefield=NewPrograms"`
	// ReturnLeast and ReturnMost bound the time after which they may come back.
	ReturnLeast time.Duration `validate:"min=0s"`
	ReturnMost  time.Duration `validate:"gtefield=ReturnLeast"`
}

// Placement is how an endpoint is chosen for a turn.
type Placement struct {
	// Margin is by how many requests per slot a program's home may exceed the
	// least loaded endpoint.
	Margin float64 `validate:"min=0"`
}

// DefaultEntrySettings returns the settings that a file need not give.
func DefaultEntrySettings() *EntrySettings {
	return &EntrySettings{
		MemoryMB: 128, Cores: 1, CoreShare: 1, StoreWrites: 800, GracePeriod: 8 * time.Second,
		Log:       EntryLog{Format: LogJSON, Level: "Info", ServedShare: 1},
		Admission: Admission{NewPrograms: 1.2, NoPrograms: 2, ReturnLeast: 200 * time.Millisecond, ReturnMost: 900 * time.Millisecond},
		Placement: Placement{Margin: 1.9},
	}
}

// LoadEntry reads a settings file. Faults in it are returned together as
// loader.Errors.
func LoadEntry(path string) (*EntrySettings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "reading the settings")
	}
	return ParseEntry(path, text)
}

// ParseEntry reads the text of a settings file; the name is for its errors.
func ParseEntry(file string, text []byte) (*EntrySettings, error) {
	settings := DefaultEntrySettings()
	places, err := loader.Load(loader.Source{File: file, Text: text}, settings)
	errors := loader.AsErrors(err)
	taken := map[netip.AddrPort]string{}
	for _, listener := range []struct {
		path    string
		address netip.AddrPort
	}{
		{"CallerListen", settings.CallerListen},
		{"ReadyListen", settings.ReadyListen},
		{"PeerListen", settings.PeerListen},
		{"AdminListen", settings.AdminListen},
	} {
		rival, again := taken[listener.address]
		if again && listener.address.IsValid() && !errors.Has(listener.path) {
			errors.Add(places.At(listener.path), listener.path, "%s is given twice, first as %s", listener.address, rival)
		}
		taken[listener.address] = listener.path
	}
	if !settings.PeerAddress.IsValid() {
		settings.PeerAddress = settings.PeerListen
	}
	if settings.PeerAddress.IsValid() && settings.PeerAddress.Addr().IsUnspecified() && !errors.Has("PeerAddress") {
		errors.Add(places.At("PeerAddress"), "PeerAddress", "PeerAddress must be given, as other instances cannot dial %s", settings.PeerAddress)
	}
	if err := errors.Err(); err != nil {
		return nil, err
	}
	return settings, nil
}
