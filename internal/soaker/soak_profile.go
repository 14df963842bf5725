package soaker

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonstand/wigeonstand/platform/standin"
)

// Apply sets the numbers and times of the named deployment.
func (c *Config) Apply(profile string) error {
	if profile != "laulukaar-stand" {
		return eris.Errorf("unknown profile %q", profile)
	}
	c.Instances, c.Engines, c.Services, c.DataCentres = 12, 9, 11, 3
	c.EngineSlots, c.ServiceSlots = 16, 6
	c.Callers = 31
	c.Timeouts = map[string]time.Duration{
		standin.PathRetained: 3 * time.Second, standin.PathSession: 3 * time.Second,
		standin.PathLookup: 1200 * time.Millisecond, standin.PathPost: 3 * time.Second,
	}
	return nil
}
