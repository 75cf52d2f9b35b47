package settings

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"

	"github.com/levertide/levertide/internal/testaddress"
)

var minimal = []string{"-node-id", "n1", "-region", "kingston", "-zone", "a", "-store-address", "127.0.0.1:8500"}

func load(t *testing.T, arguments ...string) (Invocation, []Problem) {
	t.Helper()
	invocation, err := Load(append(append([]string{}, minimal...), arguments...), io.Discard)
	if err != nil && !errorx.IsOfType(err, ErrInvalid) {
		t.Fatalf("error is not ErrInvalid: %v", err)
	}
	return invocation, Problems(err)
}

func writeFile(t *testing.T, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.yaml")
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestPreferenceOfSources(t *testing.T) {
	file := writeFile(t, "hold: 5s\nsilent-bound: 6s\ndrain-bound: 7s\nseeds: [\"127.0.0.1:1\", \"127.0.0.1:2\"]\ngateway: true\n")
	t.Setenv("LEVERTIDE_HOLD", "8s")
	t.Setenv("LEVERTIDE_SILENT_BOUND", "9s")
	invocation, problems := load(t, "-settings", file, "-hold", "10s")
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	s := invocation.Settings
	if s.Hold != 10*time.Second || s.UnresponsiveBound != 9*time.Second || s.DrainBound != 7*time.Second {
		t.Errorf("hold %v, silent %v, drain %v", s.Hold, s.UnresponsiveBound, s.DrainBound)
	}
	if len(s.Seeds) != 2 || !s.Gateway || s.FanOut != 0 || s.LogLevel != "info" {
		t.Errorf("settings %+v", s)
	}
}

func TestProblemNamesKeyValueSourceAndAllowed(t *testing.T) {
	file := writeFile(t, "log-level: loud\nhodl: 3s\n")
	t.Setenv("LEVERTIDE_FAN_OUT", "many")
	t.Setenv("LEVERTIDE_ZONNE", "b")
	tests := []struct{ name, key, value, source string }{
		{"flag out of range", "hold", "1ms", "flag -hold"},
		{"not a number", "fan-out", "many", "environment variable LEVERTIDE_FAN_OUT"},
		{"unknown variable", "LEVERTIDE_ZONNE", "b", "environment"},
		{"not one of", "log-level", "loud", "settings file " + file},
		{"unknown key", "hodl", "3s", "settings file " + file},
		{"exposed", "call-address", "0.0.0.0:0", "flag -call-address"},
		{"bad identifier", "service", "Ledger!", "flag -service"},
		{"worker missing", "worker-address", "", "default"},
		{"certificate alone", "tls-key", "", "default"},
	}
	_, problems := load(t, "-settings", file, "-hold", "1ms", "-call-address", "0.0.0.0:0", "-service", "Ledger!")
	_, more := load(t, "-tls-ca", file)
	problems = append(problems, more...)
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for _, problem := range problems {
				if problem.Key == test.key && strings.HasPrefix(problem.Value, test.value) && problem.Source == test.source && problem.Allowed != "" {
					return
				}
			}
			t.Errorf("no problem for %s among %v", test.key, problems)
		})
	}
}

func TestStoreTokenIsHidden(t *testing.T) {
	t.Setenv("LEVERTIDE_STORE_TOKEN", "classified")
	t.Setenv("LEVERTIDE_NODE_ADDRESS", "127.0.0.1:1")
	invocation, problems := load(t)
	if len(problems) > 0 || invocation.Settings.StoreToken != "classified" {
		t.Errorf("problems %v", problems)
	}
	for _, verb := range []string{"%v", "%+v", "%#v", "%s"} {
		if printed := fmt.Sprintf(verb, invocation.Settings); strings.Contains(printed, "classified") {
			t.Errorf("%s shows the token", verb)
		}
	}
}

func TestInvocations(t *testing.T) {
	if invocation, err := Load([]string{"-version"}, io.Discard); err != nil || !invocation.Version {
		t.Errorf("version: %v, %v", invocation, err)
	}
	if _, err := Load([]string{"-help"}, io.Discard); !errors.Is(err, flag.ErrHelp) {
		t.Errorf("help: %v", err)
	}
	for _, arguments := range [][]string{{"-zoo", "1"}, {"stray"}, {"-settings", "/nonexistent/file"}, {}} {
		if _, err := Load(arguments, io.Discard); !errorx.IsOfType(err, ErrInvalid) {
			t.Errorf("%v: %v", arguments, err)
		}
	}
}

func TestDocumentListsEveryKey(t *testing.T) {
	document, err := os.ReadFile("../../docs/SETTINGS.md")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(document), MarkdownTable()) {
		t.Errorf("docs/SETTINGS.md does not hold this table:\n%s", MarkdownTable())
	}
}

// TestOddAddressesOfOtherNodesAreNamed guards against a node that starts with addresses at which it finds
// nobody, and against a message that does not name them.
func TestOddAddressesOfOtherNodesAreNamed(t *testing.T) {
	for _, text := range testaddress.Odd {
		if text == "" {
			continue // Not given.
		}
		for _, key := range []string{"seeds", "advertise-call-address", "advertise-control-address", "store-address"} {
			if strings.TrimSpace(text) != text && (key == "seeds" || key == "store-address") {
				continue // Blanks around the items of a list do not count.
			}
			if strings.HasPrefix(text, "http://") && key == "store-address" {
				continue // The store may be given as a URL.
			}
			_, problems := load(t, "-"+key, text)
			named := slices.ContainsFunc(problems, func(p Problem) bool { return p.Key == key && p.Value != "" && p.Allowed != "" })
			if !named {
				t.Errorf("%s %q: %v", key, text, problems)
			}
		}
	}
}
