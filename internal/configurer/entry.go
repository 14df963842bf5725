package configurer

import (
	"net/netip"
	"os"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonstand/wigeonstand/internal/loader"
)

// EntrySettings is the settings file of one instance on the users' platform.
type EntrySettings struct {
	// Instance is the instance's name, unique among all running instances.
	Instance   string `validate:"name"`
	DataCentre string `validate:"name"`
	// CallerListen, ReadyListen, PeerListen and AdminListen are the addresses
	// of the listeners for callers, the balancer's readiness checks, other
	// instances, and metrics.
	CallerListen netip.AddrPort `validate:"required"`
	ReadyListen  netip.AddrPort `validate:"required"`
	PeerListen   netip.AddrPort `validate:"required"`
	AdminListen  netip.AddrPort `validate:"required"`
	// PeerAddress is the address at which other instances dial PeerListen. The
	// default is PeerListen.
	PeerAddress netip.AddrPort
	// Seeds are addresses of other instances at the time the settings were
	// written. They relay requests to the store while it is unreachable from this
	// instance and no other member is known.
	Seeds []netip.AddrPort
	// StoreAddress is the address of the platform's store.
	StoreAddress netip.AddrPort `validate:"required"`
	// MemoryMB is the memory that the process may use, in megabytes.
	MemoryMB float64 `validate:"min=16"`
	// StoreWrites is the number of transactions per second that the store accepts
	// from all instances together.
	StoreWrites float64 `validate:"min=1"`
	// OnePartition says that the store limits a transaction to one partition.
	OnePartition bool
	// Cores is the number of processor cores, and CoreShare the fraction of each
	// that the process may use.
	Cores     float64 `validate:"gt=0"`
	CoreShare float64 `validate:"gt=0,max=1"`
	// GracePeriod is the time from the stop signal to the end of the process.
	GracePeriod time.Duration `validate:"min=1s"`
	// ConfigurationDeadline is the time after its acknowledgement by the store within which a change of
	// the configuration takes effect. Requests that the configuration in force does not allow are
	// refused with 503 if it may be older, as the newest one may allow them.
	ConfigurationDeadline time.Duration `validate:"gt=0s"`
	// RevokeStrict refuses requests with keys of client accounts while the configuration has not
	// been confirmed for RevokeDeadline, as the keys may have been revoked. Otherwise the last
	// configuration stays in force.
	RevokeStrict   bool
	RevokeDeadline time.Duration `validate:"min=0s"`
	// QuotaWindow is the sliding window of the quotas of client accounts. Zero means that
	// the deployment has no quotas.
	QuotaWindow time.Duration `validate:"min=0s"`
	// QuotaOverage is the fraction, and QuotaTolerance the number of requests, by which
	// the requests of an account in a window may exceed its quota.
	QuotaOverage   float64 `validate:"min=0"`
	QuotaTolerance float64 `validate:"min=0"`
	Log            EntryLog
	Admission      Admission
	Placement      Placement
	Budgets        Budgets
}

// EntryLog configures the log.
type EntryLog struct {
	Format string `validate:"oneof=Text JSON"`
	Level  string `validate:"oneof=Debug Info Warn Error"`
	// ServedShare is the fraction of programs, and of requests outside programs,
	// whose served requests are logged. Failed requests are always logged.
	ServedShare float64 `validate:"min=0,max=1"`
}

// The policies of admission.
const (
	// AdmissionMeanLoad refuses new programs by the mean load of the engines.
	AdmissionMeanLoad = "MeanLoad"
	// AdmissionNeed refuses new programs by what they need and are worth, and divides scarce
	// capacity between accounts.
	AdmissionNeed = "Need"
)

// Admission configures the load above which new programs are refused.
type Admission struct {
	// Policy is the way in which new programs are refused.
	Policy string `validate:"oneof=MeanLoad Need"`
	// NewPrograms is the mean load of the engines, in requests per slot, above
	// which a share of new programs, growing with the load, is refused. Zero
	// means no limit.
	NewPrograms float64 `validate:"min=0"`
	// NoPrograms is the mean load from which all new programs are refused.
	NoPrograms float64 `validate:"gtefield=NewPrograms"`
	// ReturnLeast and ReturnMost bound the delay before a refused program may
	// retry.
	ReturnLeast time.Duration `validate:"min=0s"`
	ReturnMost  time.Duration `validate:"gtefield=ReturnLeast"`
}

// The values of Placement.Policy.
const (
	PlacementTwoByHash = "TwoByHash"
	PlacementByPace    = "ByPace"
	PlacementSoonest   = "Soonest"
)

// Placement configures the choice of an endpoint.
type Placement struct {
	// Policy selects the endpoint: TwoByHash by load and Margin, Soonest by the
	// expected end of the request. ByPace is Soonest for services whose endpoints stated
	// an unusual pace lately, as their speeds differ, and TwoByHash for others.
	Policy string `validate:"oneof=TwoByHash ByPace Soonest"`
	// Margin is the load, in requests per slot, by which a program's home endpoint
	// may exceed the least loaded endpoint.
	Margin float64 `validate:"min=0"`
}

// Budgets configures the token budgets of programs.
type Budgets struct {
	// OutageShare is the fraction of its budget that a new program may use while the
	// store is unavailable. It is withheld otherwise until the program needs it. Zero
	// means that new programs wait for the store. All instances must have the same.
	OutageShare float64 `validate:"min=0,max=0.5"`
}

// DefaultEntrySettings returns the values of the settings that have a default.
func DefaultEntrySettings() *EntrySettings {
	return &EntrySettings{
		MemoryMB: 128, Cores: 1, CoreShare: 1, StoreWrites: 800, GracePeriod: 8 * time.Second, ConfigurationDeadline: 2 * time.Second, RevokeDeadline: 5 * time.Second,
		Log:       EntryLog{Format: LogJSON, Level: "Info", ServedShare: 1},
		Admission: Admission{Policy: AdmissionMeanLoad, NewPrograms: 1.2, NoPrograms: 2, ReturnLeast: 200 * time.Millisecond, ReturnMost: 900 * time.Millisecond},
		Placement: Placement{Policy: PlacementTwoByHash, Margin: 1.5},
	}
}

// LoadEntry reads the settings file at the path. All errors in its text are
// returned together as loader.Errors.
func LoadEntry(path string) (*EntrySettings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read settings file")
	}
	return ParseEntry(path, text)
}

// ParseEntry reads the text of a settings file. The file name is used in errors
// only.
func ParseEntry(file string, text []byte) (*EntrySettings, error) {
	settings, errors := parseEntry(file, text)
	if err := errors.Err(); err != nil {
		return nil, err
	}
	return settings, nil
}

// replaceableFields are those whose default serves if their value is refused: what the platform
// states about the machine, and what tunes an instance. The others say who the instance is, where it
// listens, and which requests it must refuse.
var replaceableFields = []string{"Seeds", "MemoryMB", "StoreWrites", "Cores", "CoreShare", "GracePeriod", "ConfigurationDeadline", "Log", "Admission", "Placement"}

// StartEntry is LoadEntry for the start of an instance: an unknown field is ignored, and a refused value
// that has a default is replaced by it. The errors of both are returned as replaced.
func StartEntry(path string) (settings *EntrySettings, replaced loader.Errors, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, eris.Wrap(err, "read settings file")
	}
	settings, all := parseEntry(path, text)
	defaults := reflect.ValueOf(DefaultEntrySettings()).Elem()
	var essential loader.Errors
	for _, item := range all {
		name, _, _ := strings.Cut(item.Field, ".")
		name, _, _ = strings.Cut(name, "[")
		field := reflect.ValueOf(settings).Elem().FieldByName(name)
		isUnknown := name != "" && !field.IsValid()
		switch {
		case isUnknown:
			replaced = append(replaced, item)
		case slices.Contains(replaceableFields, name):
			replaced = append(replaced, item)
			field.Set(defaults.FieldByName(name))
		default:
			essential = append(essential, item)
		}
	}
	if err := essential.Err(); err != nil {
		return nil, nil, err
	}
	return settings, replaced, nil
}

func parseEntry(file string, text []byte) (*EntrySettings, loader.Errors) {
	settings := DefaultEntrySettings()
	positions, err := loader.Load(loader.Source{File: file, Text: text}, settings)
	errors := loader.AsErrors(err)
	paths := map[netip.AddrPort]string{}
	for _, listener := range []struct {
		path    string
		address netip.AddrPort
	}{
		{"CallerListen", settings.CallerListen},
		{"ReadyListen", settings.ReadyListen},
		{"PeerListen", settings.PeerListen},
		{"AdminListen", settings.AdminListen},
	} {
		first, duplicate := paths[listener.address]
		if duplicate && listener.address.IsValid() && !errors.Has(listener.path) {
			errors.Add(positions.At(listener.path), listener.path, "%s is given twice, first as %s", listener.address, first)
		}
		paths[listener.address] = listener.path
	}
	if !settings.PeerAddress.IsValid() {
		settings.PeerAddress = settings.PeerListen
	}
	if settings.PeerAddress.IsValid() && settings.PeerAddress.Addr().IsUnspecified() && !errors.Has("PeerAddress") {
		errors.Add(positions.At("PeerAddress"), "PeerAddress", "PeerAddress is required, because other instances cannot dial %s", settings.PeerAddress)
	}
	return settings, errors
}
