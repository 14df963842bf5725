package examples_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/compiler"
	"github.com/wigeonstand/wigeonstand/internal/configurer"
)

// counts is what a deployment consists of.
type counts struct {
	Engines     int
	Replicas    int
	DataCentres int
	Agents      int
}

func TestExamplesCompile(t *testing.T) {
	want := map[string]counts{
		"laulukaar": {Engines: 9, Replicas: 11, DataCentres: 3, Agents: 2},
		"binfold":   {Engines: 9, Replicas: 8, DataCentres: 3, Agents: 2},
	}
	for name, expected := range want {
		t.Run(name, func(t *testing.T) {
			version := compile(t, filepath.Join(name, "document.yaml"))
			if diff := cmp.Diff(expected, count(version)); diff != "" {
				t.Error(diff)
			}
			settings, err := configurer.Load(filepath.Join(name, "settings.yaml"))
			if err != nil {
				t.Fatal(err)
			}
			if !servesDataCentre(version, settings.DataCentre) {
				t.Errorf("data centre %s has no endpoint", settings.DataCentre)
			}
			checkDefaults(t, settings)
		})
	}
}

func compile(t *testing.T, file string) *compiler.Version {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	document, _, err := compiler.Split(file, text)
	if err != nil {
		t.Fatal(err)
	}
	version, err := compiler.Compile(document)
	if err != nil {
		t.Fatal(err)
	}
	return version
}

func count(version *compiler.Version) counts {
	c := counts{Agents: len(version.Agents)}
	centres := map[string]bool{}
	for _, endpoint := range version.Endpoints {
		centres[endpoint.DataCentre] = true
		if endpoint.Service == "" {
			c.Engines++
		} else {
			c.Replicas++
		}
	}
	c.DataCentres = len(centres)
	return c
}

func servesDataCentre(version *compiler.Version, name string) bool {
	for _, endpoint := range version.Endpoints {
		if endpoint.DataCentre == name {
			return true
		}
	}
	return false
}

// checkDefaults makes sure that the defaults written in the examples are the real ones.
func checkDefaults(t *testing.T, settings *configurer.Settings) {
	t.Helper()
	want := configurer.DefaultSettings()
	got := &configurer.Settings{
		Limits: settings.Limits, Lease: settings.Lease, Commit: settings.Commit, Store: settings.Store,
		DrainTimeout: settings.DrainTimeout, DrainGrace: settings.DrainGrace, Log: settings.Log, Document: settings.Document,
	}
	if *want != *got {
		t.Errorf("the defaults are %+v, not %+v", want, got)
	}
}
