package mesh

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestParseCounters(t *testing.T) {
	text := `# HELP levertide_control_bytes_total Control bytes.
levertide_control_bytes_total{direction="in",role="leaf"} 100
levertide_control_bytes_total{direction="out",role="relay"} 1.5e+03
levertide_control_bytes_total{direction="out",role="coordinator"} 0
levertide_store_requests_total 7
levertide_ready 1
`
	got, err := parseCounters(strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	want := NodeCounters{Bytes: 1600, HighestRole: "relay", StoreRequests: 7}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("counters (-want +got):\n%s", diff)
	}
}

func TestOutcomesOfExitCodes(t *testing.T) {
	for code, want := range map[int]ApplyOutcome{0: ApplyAccepted, 2: ApplyConflict, 4: ApplyUnreachable, 64: ApplyFailed, -1: ApplyFailed} {
		if got := outcomeOf(code); got != want {
			t.Errorf("exit code %d is %s, want %s", code, got, want)
		}
	}
}
