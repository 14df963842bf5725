package configurer_test

import (
	"net/netip"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/wigeonstand/wigeonstand/internal/configurer"
	"github.com/wigeonstand/wigeonstand/internal/loader"
)

const minimalSettings = `Instance: entry-1
DataCentre: dc-1
CallerListen: 127.0.0.1:7101
OperatorListen: 127.0.0.1:7102
PeerListen: 127.0.0.1:7103
AdminListen: 127.0.0.1:7104
Platform: {Address: "127.0.0.1:7000", KeyFile: platform.key}
CallerTLS: {Insecure: true}
OperatorTLS: {Insecure: true}
PeerTLS: {Insecure: true}
`

func TestParseFillsDefaults(t *testing.T) {
	got, err := configurer.Parse("s.yaml", []byte(minimalSettings))
	if err != nil {
		t.Fatal(err)
	}
	want := configurer.DefaultSettings()
	want.Instance, want.DataCentre = "entry-1", "dc-1"
	want.CallerListen = netip.MustParseAddrPort("127.0.0.1:7101")
	want.OperatorListen = netip.MustParseAddrPort("127.0.0.1:7102")
	want.PeerListen = netip.MustParseAddrPort("127.0.0.1:7103")
	want.AdminListen = netip.MustParseAddrPort("127.0.0.1:7104")
	want.PeerAddress = want.PeerListen
	want.Platform = configurer.Platform{Address: netip.MustParseAddrPort("127.0.0.1:7000"), KeyFile: "platform.key"}
	insecure := configurer.TLS{Insecure: true}
	want.CallerTLS, want.OperatorTLS, want.PeerTLS = insecure, insecure, insecure
	if diff := cmp.Diff(want, got, cmpopts.EquateComparable(netip.AddrPort{})); diff != "" {
		t.Error(diff)
	}
}

func TestParseReportsEveryError(t *testing.T) {
	_, err := configurer.Parse("s.yaml", []byte(`Instance: Entry 1
CallerListen: 127.0.0.1:7101
OperatorListen: 127.0.0.1:7101
PeerListen: 0.0.0.0:7103
CallerTLS: {Certificate: a.pem}
OperatorTLS: {Insecure: true, CA: b.pem}
PeerTLS: {Certificate: a.pem, Key: b.pem}
BootstrapOperatorHash: abc
Lease: {TTL: 1s, Renew: 2s}
Log: {Format: XML}
Color: true
`))
	want := `s.yaml:1:1: AdminListen is required
s.yaml:1:1: DataCentre is required
s.yaml:1:1: PeerAddress is required, because other instances cannot dial 0.0.0.0:7103
s.yaml:1:1: Platform.Address is required
s.yaml:1:1: Platform.KeyFile is required
s.yaml:1:11: Instance must be lower-case letters, digits and hyphens, not "Entry 1"
s.yaml:3:17: 127.0.0.1:7101 is given twice, first as CallerListen at s.yaml:2:15
s.yaml:5:12: CallerTLS needs both Certificate and Key
s.yaml:6:25: Insecure is set, but OperatorTLS also names files
s.yaml:7:10: CA is required, because instances verify each other's certificates
s.yaml:8:24: BootstrapOperatorHash must be a SHA-256 sum of 64 lower-case hexadecimal digits
s.yaml:9:25: Renew must be less than TTL
s.yaml:10:15: Format must be one of Text, JSON
s.yaml:11:1: unknown field Color`
	if diff := cmp.Diff(want, loader.AsErrors(err).Error()); diff != "" {
		t.Error(diff)
	}
}

func TestParseRequiresExplicitInsecure(t *testing.T) {
	settings := []byte("Instance: entry-1\nDataCentre: dc-1\nCallerTLS: {Insecure: false}\n")
	_, err := configurer.Parse("s.yaml", settings)
	for _, path := range []string{"CallerTLS", "OperatorTLS", "PeerTLS"} {
		if !loader.AsErrors(err).Has(path) {
			t.Errorf("Parse accepted settings without %s", path)
		}
	}
}

func TestLoadReportsMissingFile(t *testing.T) {
	if _, err := configurer.Load(filepath.Join(t.TempDir(), "absent.yaml")); err == nil {
		t.Error("Load of a missing file returned no error")
	}
}
