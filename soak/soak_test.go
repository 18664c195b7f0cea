package soak_test

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"filberthold/soak"

	"gotest.tools/v3/assert"
)

// Guards against violated guarantees to callers while processes, store,
// endpoints and connections have faults: one short soak with a fixed seed.
func TestGuaranteesHoldUnderFaults(t *testing.T) {
	program := filepath.Join(t.TempDir(), "filberthold")
	output, err := exec.Command("go", "build", "-o", program, "..").CombinedOutput()
	assert.NilError(t, err, "%s", output)
	report, err := soak.Run(t.Context(), soak.Options{
		Program: program, Directory: t.TempDir(), Seed: 1, Duration: 6 * time.Second, Hosts: 3,
		Log: t.Output(),
	})
	assert.NilError(t, err)
	assert.Equal(t, len(report.Violations), 0, "%q", report.Violations)
	assert.Assert(t, report.Outcomes["submit 200"] > 0 && len(report.Faults) > 2, "%+v", report)
}
