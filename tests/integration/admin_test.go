package integration_test

import (
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/levertide/levertide/internal/command/exit"
	"github.com/levertide/levertide/internal/lab/platform"
	"github.com/levertide/levertide/tests/integration/harness"
)

// getAdmin sends a request to the administration listener and returns the status and the body.
func getAdmin(t *testing.T, node *harness.Node, path string) (int, string) {
	t.Helper()
	response, err := http.Get("http://" + node.AdminAddress() + path)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(body)
}

func TestAdministration(t *testing.T) {
	t.Parallel()
	mesh := harness.New(t, twoZones()...)
	mesh.Store.SetFaults(platform.Faults{Outage: platform.OutageRefuse})
	mesh.StartAll()
	node := mesh.Node("a-gateway")
	if status, _ := getAdmin(t, node, "/healthz"); status != http.StatusOK {
		t.Errorf("/healthz: %d", status)
	}
	if status, reason := getAdmin(t, node, "/readyz"); status != http.StatusServiceUnavailable || strings.TrimSpace(reason) == "" {
		t.Errorf("/readyz before a floor is known: %d %q", status, reason)
	}
	mesh.Store.SetFaults(platform.Faults{})
	version := mesh.Operator.Apply(resources(1))
	mesh.AwaitReady(mesh.Nodes("")...)
	if status, _ := getAdmin(t, node, "/readyz"); status != http.StatusOK {
		t.Errorf("/readyz when ready: %d", status)
	}
	_, body := getAdmin(t, node, "/v1/status")
	var status struct {
		Node           string
		Ready          bool
		VersionInForce uint64
		System         struct{ Head struct{ Committed string } }
	}
	if err := json.Unmarshal([]byte(body), &status); err != nil {
		t.Fatal(err)
	}
	if status.Node != node.Name || !status.Ready || status.VersionInForce != version || status.System.Head.Committed == "" {
		t.Errorf("status %+v from %s", status, body)
	}
	if _, metrics := getAdmin(t, node, "/metrics"); !strings.Contains(metrics, "levertide_version_in_force 1") {
		t.Error("/metrics: levertide_version_in_force 1 is missing")
	}
}

func TestSecretsAreShownNowhere(t *testing.T) {
	mesh, _ := running(t, twoZones()...)
	get(t, mesh, mesh.Node("a-gateway"), 1)
	shown := strings.Join(mesh.Events.Lines(), "\n")
	for _, node := range mesh.Nodes("") {
		for _, path := range []string{"/metrics", "/v1/status", "/readyz"} {
			_, body := getAdmin(t, node, path)
			shown += body
		}
	}
	if strings.Contains(shown, "value-1") {
		t.Error("the value of a secret appears in event lines or administration answers")
	}
}

// writeSet writes a file set whose route has the given path prefix and returns its directory.
func writeSet(t *testing.T, route string) string {
	t.Helper()
	directory := t.TempDir()
	content := `kind: Service
name: ledger
spec: {slots: 6, connections: 130, queue: 12, calls: []}
---
kind: Route
name: filings
spec:
  service: ledger
  match: {host: "*", pathPrefix: ` + route + `}
`
	if err := os.WriteFile(filepath.Join(directory, "mesh.yaml"), []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return directory
}

func TestCommandLinesRace(t *testing.T) {
	mesh, first := running(t, twoZones()...)
	codes := make(chan harness.Command)
	for _, route := range []string{"/left", "/right"} {
		directory := writeSet(t, route)
		go func() {
			codes <- harness.Levertide(t.Context(), "apply", "-f", directory, "--store", mesh.StoreAddress(),
				"--base", "1", "--wait", "in-force", "--node", mesh.Node("b-gateway").Control.Address)
		}()
	}
	counts := make(map[int]int)
	for range 2 {
		command := <-codes
		counts[command.ExitCode]++
		if command.ExitCode != int(exit.Accepted) && command.ExitCode != int(exit.Conflict) {
			t.Errorf("exit code %d: %s", command.ExitCode, command.Output)
		}
	}
	if counts[int(exit.Accepted)] != 1 || counts[int(exit.Conflict)] != 1 {
		t.Errorf("exit codes %v", counts)
	}
	mesh.AwaitVersion(first+1, mesh.Nodes("")...)
	mesh.Operator.RecordCommitted(first + 1)
	status := harness.Levertide(t.Context(), "status", "--node", mesh.Node("a-gateway").Control.Address)
	if status.ExitCode != int(exit.Accepted) {
		t.Errorf("status: %+v", status)
	}
}
