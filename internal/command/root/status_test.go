package root_test

import (
	"context"
	"crypto/tls"
	"io"
	"log"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/levertide/levertide/internal/command/exit"
	"github.com/levertide/levertide/internal/command/status"
	"github.com/levertide/levertide/internal/controlpb"
	"github.com/levertide/levertide/internal/identity"
	"github.com/levertide/levertide/pkg/manifest"
	"github.com/levertide/levertide/pkg/versionstore"
)

// propose writes a version and leaves it undecided.
func (m *mesh) propose(t *testing.T, applyID string) {
	t.Helper()
	set, faults := manifest.Parse("set", []byte(ledger))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	_, err := m.versions.Propose(context.Background(), versionstore.ProposeRequest{ApplyID: applyID, Resources: set.Resources()})
	if err != nil {
		t.Fatal(err)
	}
}

// publish writes and commits the first version.
func (m *mesh) publish(t *testing.T, applyID string) {
	t.Helper()
	m.propose(t, applyID)
	if _, err := m.versions.Commit(context.Background(), 1, applyID); err != nil {
		t.Fatal(err)
	}
}

func busyAnswer() *controlpb.StatusResponse {
	return &controlpb.StatusResponse{
		Head: &controlpb.Head{
			Generation: 30, Committed: 12, Proposed: 14, HighestUsed: 14, ApplyId: "apply-14",
			LastRejected: &controlpb.Rejection{Version: 13, ApplyId: "apply-13", Node: "n9", Reason: "no worker", AtUnixNanoseconds: int64(time.Hour)},
		},
		Coordinator: "n1",
		AnsweredBy:  "n1",
		Readers:     []*controlpb.Reader{{Node: "n1"}, {Node: "n4", Slot: 1}},
		Live:        &controlpb.MemberSum{Count: 86, Hash: 1},
		Readiness: &controlpb.Readiness{
			Proposed: 14, Ready: &controlpb.MemberSum{Count: 40}, Refused: []*controlpb.NodeReason{{Node: "n8", Reason: "too large"}},
			Committed: 12, InForce: &controlpb.MemberSum{Count: 85, Hash: 2},
		},
		Lagging:                   []*controlpb.NodeReason{{Node: "n7", Reason: "fetching version 12"}},
		StoreError:                "connection refused",
		StoreSinceUnixNanoseconds: int64(time.Hour),
		Leaving:                   2,
		Lost:                      1,
		Alarms:                    []string{"the store went back"},
	}
}

func TestStatusShowsTheStateOfTheMesh(t *testing.T) {
	node := newFakeNode(t)
	node.set(busyAnswer())
	got := run(t, "status", "--node", "127.0.0.1:1,"+node.address).want(t, exit.Accepted,
		"12, in force on 85 of 86 live nodes, not yet on all",
		"version 14 (apply apply-14), ready on 40 of 86 live nodes",
		"refused        n8: too large",
		"lagging        n7: fetching version 12",
		"store          NOT REACHABLE since ", ": connection refused",
		"members        86 live, 2 leaving, 1 lost",
		"coordinator    n1", "readers        n1, n4",
		"last rejected  version 13 by node n9: no worker (apply apply-13) at ",
		"answered by    n1")
	if !strings.HasPrefix(got.out, "ALARM          the store went back\n") {
		t.Errorf("alarms do not come first:\n%s", got.out)
	}
	var report status.Report
	run(t, "status", "--node", node.address, "-o", "json").want(t, exit.Accepted).decode(t, &report)
	if report.Committed != 12 || report.Rollout.ReadyOn != 40 || report.Store.Reachable || report.InForceSince != nil || len(report.Lagging) != 1 {
		t.Errorf("the report is %+v", report)
	}
}

func TestStatusOfAnIdleMesh(t *testing.T) {
	node := newFakeNode(t)
	run(t, "status", "--node", node.address).want(t, exit.Accepted, "none has been committed yet", "rollout        none", "last rejected  none")
	answer := &controlpb.StatusResponse{Head: &controlpb.Head{Committed: 1}, StoreReachable: true, InForceSinceUnixNanoseconds: 1, AnsweredBy: "n2"}
	node.set(answer)
	run(t, "status", "--node", node.address).want(t, exit.Accepted, "on all since ", "store          reachable\n", "n2, which is not the coordinator")
}

func TestStatusWithoutAnAnsweringNode(t *testing.T) {
	run(t, "status", "--node", "127.0.0.1:1").want(t, exit.Unreachable, "no node answers")
}

func TestStatusOverTLS(t *testing.T) {
	authority, err := identity.GenerateAuthority()
	if err != nil {
		t.Fatal(err)
	}
	nodeFiles := issue(t, authority, identity.RoleNode, "n1")
	operator := issue(t, authority, identity.RoleOperator, "anna")
	reloader, err := identity.NewReloader(nodeFiles, discardEvents{}, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	listener, err := tls.Listen("tcp", "127.0.0.1:0", reloader.Mutual(identity.RoleOperator))
	if err != nil {
		t.Fatal(err)
	}
	// httptest's server would present a certificate of its own.
	server := &http.Server{Handler: controlpb.NewControlServer(&fakeNode{answer: busyAnswer()}), ErrorLog: log.New(io.Discard, "", 0)}
	t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	address := listener.Addr().String()
	flags := func(files identity.Files) []string {
		return []string{"status", "--node", address, "--tls-ca", files.Authorities, "--tls-cert", files.Certificate, "--tls-key", files.Key}
	}
	run(t, flags(operator)...).want(t, exit.Accepted, "coordinator    n1")
	run(t, flags(nodeFiles)...).want(t, exit.Unreachable)
	operator.Key = "absent.pem"
	run(t, flags(operator)...).want(t, exit.Usage)
}

type discardEvents struct{}

func (discardEvents) CertificatesLoaded(string, time.Time) {}
func (discardEvents) CertificatesFailed(error)             {}

func issue(t *testing.T, authority *identity.Authority, role identity.Role, name string) identity.Files {
	t.Helper()
	bundle, err := authority.Issue(identity.Identity{Region: "kingston", Zone: "a", Role: role, Node: name}, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	files, err := bundle.Write(filepath.Join(t.TempDir(), name))
	if err != nil {
		t.Fatal(err)
	}
	return files
}

func TestUsage(t *testing.T) {
	for _, variable := range []string{"LEVERTIDE_STORE_ADDRESS", "LEVERTIDE_NODE_ADDRESS"} {
		t.Setenv(variable, "")
	}
	for _, line := range []string{
		"", "frobnicate", "--frobnicate",
		"validate", "validate -f x y", "validate -f x -o xml",
		"diff -f x", "diff -f x --store ftp://y", "diff --store 127.0.0.1:1",
		"apply -f x", "apply -f x --store y:1 --wait soon", "apply -f x --store y:1 --base -2", "apply -f x --store y:1 --base one",
		"apply -f x --store y:1 --wait in-force", "apply -f x --store y:1 --after-restore", "apply -f x --store y:1 --timeout 0s",
		"apply -f x --store y:1 --node z", "apply -f x --store y:1 --tls-ca z",
		"status", "status --node z", "status --node z:1 extra", "history", "history --store y:1 --limit 0", "history --store y:1 extra",
	} {
		if got := run(t, strings.Fields(line)...); got.code != exit.Usage || got.out != "" || got.err == "" {
			t.Errorf("%q: exit code %d\n%s%s", line, got.code, got.out, got.err)
		}
	}
}

func TestHelpAndVersion(t *testing.T) {
	for _, line := range []string{"-h", "validate -h", "diff -h", "apply -h", "status --help", "history -h"} {
		if got := run(t, strings.Fields(line)...); got.code != exit.Accepted || !strings.Contains(got.out, "USAGE") || got.err != "" {
			t.Errorf("%q: exit code %d\n%s%s", line, got.code, got.out, got.err)
		}
	}
	run(t, "--version").want(t, exit.Accepted, "levertide v1\n")
}

func TestEnvironmentReplacesFlags(t *testing.T) {
	m := newMesh(t)
	t.Setenv("LEVERTIDE_STORE_ADDRESS", m.store)
	t.Setenv("LEVERTIDE_NODE_ADDRESS", m.node.address)
	run(t, "history").want(t, exit.Accepted)
	run(t, "status").want(t, exit.Accepted)
}

func TestStatusOfAMeshWithAName(t *testing.T) {
	node := newFakeNodeOf(t, "blue")
	node.set(busyAnswer())
	run(t, "status", "--node", node.address, "--mesh", "blue").want(t, exit.Accepted, "12, in force on 85")
	run(t, "status", "--node", node.address, "--mesh", "green").want(t, exit.Unreachable, "")
	run(t, "status", "--node", node.address).want(t, exit.Unreachable, "")
}
