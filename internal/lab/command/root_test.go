package command_test

import (
	"context"
	"strings"
	"testing"

	"github.com/levertide/levertide/internal/lab/command"
)

func TestExitCodes(t *testing.T) {
	cases := []struct {
		name      string
		arguments []string
		code      int
		output    string
	}{
		{"help", []string{"--help"}, 0, "soak"},
		{"no subcommand", nil, 2, ""},
		{"unknown subcommand", []string{"nonsense"}, 2, ""},
		{"unknown flag", []string{"soak", "--nonsense"}, 2, "nonsense"},
		{"missing argument", []string{"report"}, 1, "exactly one directory"},
		{"missing file", []string{"run", "no-such-file.yaml"}, 1, "no-such-file.yaml"},
		{"unknown mode", []string{"load", "--mode", "nonsense"}, 1, "nonsense"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			var output strings.Builder
			if code := command.Run(context.Background(), test.arguments, &output); code != test.code {
				t.Errorf("exit code %d, want %d", code, test.code)
			}
			if !strings.Contains(output.String(), test.output) {
				t.Errorf("output lacks %q:\n%s", test.output, output.String())
			}
		})
	}
}
