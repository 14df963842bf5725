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

// The demonstration's addresses are ports of the loopback address.
const (
	portPlatform     = 17400
	portEngine       = 17410
	portService      = 17420
	portCaller       = 17430
	portOperator     = 17440
	portPeer         = 17450
	portAdmin        = 17460
	certificateLife  = 24 * time.Hour
	secretMode       = 0o600
	directoryMode    = 0o755
	secretCharacters = 26
)

// dataCentres are the demonstration's; each has one instance.
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
}

func at(port int) netip.AddrPort { return netip.AddrPortFrom(loopback, uint16(port)) }

func instances(directory string) []instance {
	var all []instance
	for n, centre := range dataCentres {
		all = append(all, instance{
			Directory: directory, Name: centre + "-1", DataCentre: centre,
			Caller: at(portCaller + n), Operator: at(portOperator + n), Peer: at(portPeer + n),
			Admin: at(portAdmin + n), Platform: at(portPlatform),
		})
	}
	return all
}

func newPrepareCmd() *cli.Command {
	return &cli.Command{
		Name:  "prepare",
		Usage: "make keys, certificates, settings and the document",
		Flags: []cli.Flag{directoryFlag()},
		Action: func(_ context.Context, c *cli.Command) error {
			return prepare(c.String("directory"))
		},
	}
}

func prepare(directory string) error {
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
	for _, i := range instances(directory) {
		i.OperatorKey = compiler.HashKey(keys["operator"])
		if err := render(filepath.Join(directory, i.Name+".yaml"), "settings.yaml.tmpl", i); err != nil {
			return err
		}
	}
	return render(filepath.Join(directory, "document.yaml"), "document.yaml.tmpl", documentData{
		Operator: compiler.HashKey(keys["operator"]), Laulukaar: compiler.HashKey(keys["laulukaar"]),
		Binfold: compiler.HashKey(keys["binfold"]), Engines: []netip.AddrPort{at(portEngine), at(portEngine + 1)},
		Service: at(portService),
	})
}

// documentData is what the document's template names.
type documentData struct {
	Operator, Laulukaar, Binfold string
	Engines                      []netip.AddrPort
	Service                      netip.AddrPort
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
