package experiment_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/levertide/levertide/internal/lab/experiment"
)

const examples = "../../../examples/experiments"

func TestShippedExperimentsAreValid(t *testing.T) {
	paths, err := filepath.Glob(filepath.Join(examples, "*.yaml"))
	if err != nil || len(paths) == 0 {
		t.Fatalf("no experiments found: %v", err)
	}
	for _, path := range paths {
		if _, err := experiment.LoadFile(path); err != nil {
			t.Errorf("%s: %v", path, err)
		}
	}
}

func TestFaultsAreNamed(t *testing.T) {
	content, err := os.ReadFile(filepath.Join(examples, "vennema.yaml"))
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct{ name, old, new, want string }{
		{"unknown field", "seed: 7", "sead: 7", "sead"},
		{"value out of bounds", "gateways: 2", "gateways: -2", "Gateways"},
		{"unknown node", "kill: {node: grootboek-2}", "kill: {node: grootboek-9}", `no node "grootboek-9"`},
		{"wrong order", "at: 8s", "at: 3s", "before the step above"},
		{"two actions", "restart: {node: grootboek-2}", "restart: {node: grootboek-2}, kill: {node: grootboek-2}", "exactly one action"},
		{"unknown step", "after: new-service", "after: no-such-step", `no step "no-such-step"`},
		{"late step", "duration: 50s", "duration: 30s", "after the duration"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			changed := strings.Replace(string(content), test.old, test.new, 1)
			path := filepath.Join(t.TempDir(), "changed.yaml")
			if err := os.WriteFile(path, []byte(changed), 0o600); err != nil {
				t.Fatal(err)
			}
			_, err := experiment.LoadFile(path)
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("error %v, want one with %q", err, test.want)
			}
		})
	}
}
