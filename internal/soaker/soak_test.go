package soaker_test

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/soaker"
)

// TestSoak is a short run of the soak with fixed seeds.
func TestSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "wigeonstand")
	if out, err := exec.CommandContext(t.Context(), "go", "build", "-o", binary, "../../cmd/wigeonstand").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			report, err := soaker.Run(t.Context(), soaker.Config{
				Binary: binary, Folder: t.TempDir(), Seed: seed, Length: 5 * time.Second,
				Instances: 3, Engines: 2, Services: 2, Callers: 6,
			})
			if err != nil {
				t.Fatal(err)
			}
			for _, violation := range report.Violations {
				t.Error(violation)
			}
			t.Logf("faults %v, answers %v, checks %v", report.Faults, report.Answers, report.Checks)
		})
	}
}
