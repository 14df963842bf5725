package main

import (
	"context"
	"crypto/rand"
	"embed"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"text/template"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/wigeonstand/wigeonstand/internal/certifier"
	"github.com/wigeonstand/wigeonstand/internal/compiler"
)

//go:embed templates/*.tmpl
var templates embed.FS

// The demonstration's addresses are ports of the loopback address, counted
// from a base port.
const (
	defaultBasePort  = 17400
	portPlatform     = 0
	portEngine       = 10
	portService      = 20
	portCaller       = 100
	portOperator     = 200
	portPeer         = 300
	portAdmin        = 400
	engineCount      = 2
	defaultSlots     = 16
	defaultInstances = 3
	certificateLife  = 24 * time.Hour
	secretMode       = 0o600
	directoryMode    = 0o755
	secretCharacters = 26
)

// dataCentres are the demonstration's; its instances are spread over them.
var dataCentres = []string{"ee-tln", "ee-trt", "ee-prn"}

// loopback is the one address that the demonstration uses.
var loopback = netip.MustParseAddr("127.0.0.1")

// secrets are the keys that the demonstration's parties present.
var secrets = []string{"platform", "operator", "laulukaar", "binfold"}

// instance is what a settings file says of one instance.
type instance struct {
	Directory   string
	Name        string
	DataCentre  string
	Caller      netip.AddrPort
	Operator    netip.AddrPort
	Peer        netip.AddrPort
	Admin       netip.AddrPort
	Platform    netip.AddrPort
	OperatorKey string
	ShareOf     int
}

// layout says where the demonstration's processes are.
type layout struct {
	directory string
	base      int
	instances int
}

func layoutOf(c *cli.Command) layout {
	return layout{directory: c.String("directory"), base: c.Int("port"), instances: c.Int("instances")}
}

func (l layout) at(port int) netip.AddrPort {
	return netip.AddrPortFrom(loopback, uint16(l.base+port))
}

// name returns the name of instance n, from 0.
func (l layout) name(n int) string {
	return fmt.Sprintf("%s-%d", l.dataCentre(n), n/len(dataCentres)+1)
}

func (l layout) dataCentre(n int) string { return dataCentres[n%len(dataCentres)] }

// all returns what the settings files say.
func (l layout) all() []instance {
	var all []instance
	for n := range l.instances {
		all = append(all, instance{
			Directory: l.directory, Name: l.name(n), DataCentre: l.dataCentre(n),
			Caller: l.at(portCaller + n), Operator: l.at(portOperator + n), Peer: l.at(portPeer + n),
			Admin: l.at(portAdmin + n), Platform: l.at(portPlatform), ShareOf: l.instances,
		})
	}
	return all
}

func (l layout) engines() []netip.AddrPort {
	var all []netip.AddrPort
	for n := range engineCount {
		all = append(all, l.at(portEngine+n))
	}
	return all
}

func newPrepareCmd() *cli.Command {
	return &cli.Command{
		Name:  "prepare",
		Usage: "make keys, certificates, settings and the document",
		Flags: layoutFlags(
			&cli.IntFlag{Name: "slots", Value: defaultSlots, Usage: "say that an engine batches `N` generations"},
		),
		Action: func(_ context.Context, c *cli.Command) error {
			return prepare(layoutOf(c), c.Int("slots"))
		},
	}
}

func prepare(l layout, slots int) error {
	directory := l.directory
	if err := os.MkdirAll(directory, directoryMode); err != nil {
		return eris.Wrap(err, "make directory")
	}
	issuer, err := certifier.NewIssuer(directory, certificateLife)
	if err != nil {
		return err
	}
	if _, err := issuer.Issue("server", certificateLife, loopback); err != nil {
		return err
	}
	keys := map[string]string{}
	for _, name := range secrets {
		keys[name] = rand.Text()[:secretCharacters]
		if err := os.WriteFile(keyFile(directory, name), []byte(keys[name]+"\n"), secretMode); err != nil {
			return eris.Wrap(err, "write key")
		}
	}
	for _, i := range l.all() {
		i.OperatorKey = compiler.HashKey(keys["operator"])
		if err := render(filepath.Join(directory, i.Name+".yaml"), "settings.yaml.tmpl", i); err != nil {
			return err
		}
	}
	data := documentData{
		Operator: compiler.HashKey(keys["operator"]), Laulukaar: compiler.HashKey(keys["laulukaar"]),
		Binfold: compiler.HashKey(keys["binfold"]), Engines: l.engines(), Slots: slots,
		Service: l.at(portService), Dockets: l.at(portService + 1),
	}
	for _, name := range []string{"document", "load"} {
		if err := render(filepath.Join(directory, name+".yaml"), name+".yaml.tmpl", data); err != nil {
			return err
		}
	}
	return nil
}

// documentData is what the document's template names.
type documentData struct {
	Operator, Laulukaar, Binfold string
	Engines                      []netip.AddrPort
	Slots                        int
	Service                      netip.AddrPort
	Dockets                      netip.AddrPort
}

func keyFile(directory, name string) string { return filepath.Join(directory, name+".secret") }

func render(path, name string, data any) error {
	t, err := template.ParseFS(templates, "templates/"+name)
	if err != nil {
		return eris.Wrap(err, "parse template")
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, secretMode)
	if err != nil {
		return eris.Wrap(err, "make file")
	}
	if err := t.Execute(file, data); err != nil {
		return fmt.Errorf("render %s: %w", path, err)
	}
	return eris.Wrap(file.Close(), "close file")
}
