package report_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/levertide/levertide/internal/lab/report"
	"github.com/levertide/levertide/internal/lab/results"
)

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
	for _, want := range []string{"data:image/png;base64,", "not measured", "&lt;all&gt;"} {
		if !strings.Contains(page, want) {
			t.Errorf("the page lacks %q", want)
		}
	}
	if strings.Contains(page, "src=\"#Zgotmpl") || strings.Contains(page, "<script") {
		t.Error("the page has an image that is not embedded, or a script")
	}
	pictures, _ := filepath.Glob(filepath.Join(directory, "*.png"))
	if len(pictures) != 1 {
		t.Errorf("%d plots, want that of the experiment", len(pictures))
	}
}

func TestWriteRefusesEmptyDirectory(t *testing.T) {
	if _, err := report.Write(t.TempDir()); err == nil {
		t.Error("no error for a directory without results")
	}
}
