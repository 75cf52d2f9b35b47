package report_test

import (
	"encoding/json"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/levertide/levertide/internal/lab/report"
	"github.com/levertide/levertide/internal/lab/results"
)

func pointer[T any](value T) *T { return &value }

// spreads gives every role a figure that rises with the role.
func spreads(base float64) results.RoleSpreads {
	var roles results.RoleSpreads
	for i, role := range results.Roles() {
		value := base * float64(i+1)
		roles.Set(role, &results.Spread{Mean: value, P99: value * 1.5, Max: value * 2})
	}
	return roles
}

// sampleScale is a made-up result; its figures mean nothing.
func sampleScale() results.Scale {
	sample := results.Scale{
		Nodes: 100, Zones: 4, Regions: 2, Services: 31, HollowNodes: 92, RealProcesses: 8, WindowSeconds: 60,
		Convergence:        &results.Quantiles{P50: 200, P99: 400, Max: 500},
		ControlBytesByRole: spreads(700),
		Violations:         pointer(0),
	}
	for i := range 200 {
		sample.ConvergenceSamples = append(sample.ConvergenceSamples, 100+float64(i)*2)
		sample.Seconds = append(sample.Seconds, results.Second{Second: i, MeanBytes: 1500 + 900*math.Sin(float64(i)/9), P99Bytes: 5000, MaxBytes: 9000})
	}
	for i, name := range []string{"quiet", "rack", "zone"} {
		sample.Phases = append(sample.Phases, results.Phase{Name: name, StartSecond: float64(i) * 60, DurationSeconds: 60})
	}
	return sample
}

func sampleSlopes() results.Slopes {
	var sample results.Slopes
	for _, nodes := range []int{100, 300, 1000, 1900} {
		sample.Points = append(sample.Points, results.SlopePoint{
			Nodes: nodes, Services: 310, BytesByRole: spreads(float64(nodes)), ConvergenceP50: pointer(float64(nodes)),
		})
	}
	return sample
}

func sampleExperiment() results.Experiment {
	sample := results.Experiment{Experiment: "sample", Checks: []results.Check{{Name: "<all>", Held: false}}}
	for i := range 40 {
		sample.Seconds = append(sample.Seconds, results.CallSecond{Second: i, Answered: 150 - i%7, NotRun: i % 3})
	}
	for i, name := range []string{"new-service", "bad-set", "crash"} {
		sample.Marks = append(sample.Marks, results.Mark{Second: float64(10 * (i + 1)), Name: name})
	}
	return sample
}

func writeJSON(t *testing.T, path string, value any) {
	t.Helper()
	content, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, content, 0o600); err != nil {
		t.Fatal(err)
	}
}

func TestWriteMakesSelfContainedPage(t *testing.T) {
	directory := t.TempDir()
	if kept := os.Getenv("LEVERTIDE_REPORT_SAMPLE"); kept != "" {
		directory = kept
	}
	writeJSON(t, filepath.Join(directory, "scale.json"), sampleScale())
	writeJSON(t, filepath.Join(directory, "slopes.json"), sampleSlopes())
	writeJSON(t, filepath.Join(directory, "demo.json"), sampleExperiment())
	path, err := report.Write(directory)
	if err != nil {
		t.Fatal(err)
	}
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	page := string(content)
	for _, want := range []string{"data:image/png;base64,", "not measured", "&lt;all&gt;", "budget"} {
		if !strings.Contains(page, want) {
			t.Errorf("the page lacks %q", want)
		}
	}
	if strings.Contains(page, "src=\"#Zgotmpl") || strings.Contains(page, "<script") {
		t.Error("the page has an image that is not embedded, or a script")
	}
	pictures, _ := filepath.Glob(filepath.Join(directory, "*.png"))
	if len(pictures) < 5 {
		t.Errorf("%d plots, want at least 5", len(pictures))
	}
}

func TestWriteRefusesEmptyDirectory(t *testing.T) {
	if _, err := report.Write(t.TempDir()); err == nil {
		t.Error("no error for a directory without results")
	}
}
