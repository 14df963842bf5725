package configurer_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/wigeonstand/wigeonstand/internal/configurer"
	"github.com/wigeonstand/wigeonstand/internal/loader"
)

const minimalEntrySettings = `Instance: edge-1
DataCentre: dc-1
CallerListen: 10.0.0.1:80
ReadyListen: 10.0.0.1:81
PeerListen: 10.0.0.1:82
AdminListen: 10.0.0.1:83
StoreAddress: 10.0.0.9:90
`

func TestParseEntry(t *testing.T) {
	got, err := configurer.ParseEntry("e.yaml", []byte(minimalEntrySettings+"GracePeriod: 5s\nRevokeStrict: true\nRevokeDeadline: \"2500ms\"\nAdmission: {Policy: Need, NewPrograms: 0.5}\n"))
	if err != nil {
		t.Fatal(err)
	}
	want := configurer.DefaultEntrySettings()
	want.Instance, want.DataCentre, want.GracePeriod = "edge-1", "dc-1", 5*time.Second
	want.CallerListen = netip.MustParseAddrPort("10.0.0.1:80")
	want.ReadyListen = netip.MustParseAddrPort("10.0.0.1:81")
	want.PeerListen = netip.MustParseAddrPort("10.0.0.1:82")
	want.PeerAddress = want.PeerListen
	want.AdminListen = netip.MustParseAddrPort("10.0.0.1:83")
	want.StoreAddress = netip.MustParseAddrPort("10.0.0.9:90")
	want.Admission.Policy, want.Admission.NewPrograms = configurer.AdmissionNeed, 0.5
	want.RevokeStrict, want.RevokeDeadline = true, 2500*time.Millisecond
	if diff := cmp.Diff(want, got, cmpopts.EquateComparable(netip.AddrPort{})); diff != "" {
		t.Error(diff)
	}
}

func TestParseEntryReportsEveryError(t *testing.T) {
	_, err := configurer.ParseEntry("e.yaml", []byte(`Instance: edge-1
DataCentre: dc-1
CallerListen: 10.0.0.1:80
ReadyListen: 10.0.0.1:80
PeerListen: 0.0.0.0:82
StoreAddress: nowhere
MemoryMB: 1
CoreShare: 3
Admission: {Policy: First, ReturnLeast: 2s, ReturnMost: 1s}
Colour: red
`))
	errs := loader.AsErrors(err)
	for _, path := range []string{
		"ReadyListen", "PeerAddress", "AdminListen", "StoreAddress", "MemoryMB", "CoreShare", "Admission.Policy", "Admission.ReturnMost", "Colour",
	} {
		if !errs.Has(path) {
			t.Errorf("no error at %s in:\n%v", path, err)
		}
	}
}
