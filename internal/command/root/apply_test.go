package root_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/levertide/levertide/internal/command/apply"
	"github.com/levertide/levertide/internal/command/exit"
	"github.com/levertide/levertide/internal/command/history"
	"github.com/levertide/levertide/internal/controlpb"
	"github.com/levertide/levertide/internal/lab/platform"
	"github.com/levertide/levertide/pkg/model"
)

// watchWait is how long one blocking read of the test's coordinator may take.
const watchWait = 5 * time.Second

func (m *mesh) apply(t *testing.T, content string, more ...string) result {
	t.Helper()
	return run(t, append([]string{"apply", "-f", write(t, content), "--store", m.store, "--operator", "anna"}, more...)...)
}

func TestApplyDiffHistory(t *testing.T) {
	m := newMesh(t)
	m.coordinate(t, accept)
	run(t, "history", "--store", m.store).want(t, exit.Accepted, "no version has been applied yet")
	run(t, "diff", "-f", write(t, ledger), "--store", m.store).want(t, exit.Accepted,
		"+ Route/vat\n+ Secret/token\n+ Service/ledger\n", "3 added, 0 changed, 0 removed, compared with version 0")
	m.apply(t, ledger).want(t, exit.Accepted, "version 1 is committed")
	run(t, "diff", "-f", write(t, ledger), "--store", m.store).want(t, exit.Accepted, "nothing to change: the set is version 1")
	m.apply(t, ledger).want(t, exit.Accepted, "nothing to change: the set is version 1")

	changed := strings.NewReplacer("hunter2", "hunter3", "slots: 6", "slots: 8", "repeatable: never", "timeout: 5s").Replace(ledger)
	got := run(t, "diff", "-f", write(t, changed), "--store", m.store).want(t, exit.Accepted,
		"~ Route/vat\n    spec.repeatable: never -> safe-methods\n    spec.timeout: (not set) -> 5s\n",
		"~ Secret/token (value not shown)\n", "~ Service/ledger\n    spec.slots: 6 -> 8\n")
	if strings.Contains(got.out, m.secretDigest(t)) {
		t.Error("the difference shows the digest of a secret")
	}
	m.apply(t, changed, "--base", "1").want(t, exit.Accepted, "version 2 is committed")

	var listed history.Report
	run(t, "history", "--store", m.store, "-o", "json").want(t, exit.Accepted).decode(t, &listed)
	if len(listed.Versions) != 2 || listed.Versions[0].State != history.StateCommitted ||
		listed.Versions[1].State != history.StateSuperseded || listed.Versions[0].Operator != "anna" {
		t.Errorf("history lists %+v", listed.Versions)
	}
	run(t, "history", "--store", m.store, "--apply-id", listed.Versions[1].ApplyID).want(t, exit.Accepted, "was committed as version 1")
	run(t, "history", "--store", m.store, "--apply-id", "other").want(t, exit.Rejected, "was not written")
	run(t, "history", "--store", m.store, "--limit", "1").want(t, exit.Accepted, "committed")
}

func (m *mesh) secretDigest(t *testing.T) string {
	t.Helper()
	loaded, err := m.versions.LoadSnapshot(t.Context(), 1, nil)
	if err != nil {
		t.Fatal(err)
	}
	digest, found := loaded.ResourceDigest(model.Key{Kind: model.KindSecret, Name: "token"})
	if !found {
		t.Fatal("version 1 holds no secret")
	}
	return digest.String()
}

func TestApplyToAMovedBaseIsAConflict(t *testing.T) {
	m := newMesh(t)
	m.coordinate(t, accept)
	m.apply(t, ledger).want(t, exit.Accepted)
	m.apply(t, ledger+archive, "--base", "1").want(t, exit.Accepted)
	var report apply.Report
	m.apply(t, ledger, "--base", "1", "-o", "json").want(t, exit.Conflict).decode(t, &report)
	if report.Base != 1 || report.Current != 2 || report.Version != 0 || report.Outcome.Outcome != "conflict" ||
		len(report.Moved) != 1 || report.Moved[0].Name != "archive" {
		t.Errorf("the conflict is %+v", report)
	}
	m.apply(t, ledger, "--base", "1").want(t, exit.Conflict, "+ Service/archive", "nothing was applied", "--base 2")
}

func TestApplyWithoutBaseIsRefusedWhenTheHeadMovesMeanwhile(t *testing.T) {
	m := newMesh(t)
	overtake := func(text string) {
		if strings.Contains(text, "proposed as version") || !strings.Contains(text, "based on version 0") {
			return
		}
		if head := m.versions.NewestHead(); head.Generation == 0 {
			m.publish(t, "overtaker")
		}
	}
	runWatched(t, t.Context(), overtake, "apply", "-f", write(t, ledger+archive), "--store", m.store).
		want(t, exit.Conflict, "nothing was applied: the set is based on version 0, but version 1 is committed", "+ Service/ledger")
}

func TestApplyDuringARolloutIsAConflict(t *testing.T) {
	m := newMesh(t)
	m.propose(t, "first")
	m.apply(t, ledger+archive).want(t, exit.Conflict, "version 1 (apply first) is being rolled out")
}

func TestRejectedApply(t *testing.T) {
	m := newMesh(t)
	m.coordinate(t, func(uint64) string { return "no such worker" })
	const text = "version 1 was rejected by node node-7: no such worker; no node has run any of it"
	var report apply.Report
	m.apply(t, ledger, "-o", "json").want(t, exit.Rejected).decode(t, &report)
	if report.Message != text || report.Version != 1 || report.FindOut != "" {
		t.Errorf("the report is %+v", report)
	}
	run(t, "history", "--store", m.store, "--apply-id", report.ApplyID).want(t, exit.Rejected, text)
	run(t, "history", "--store", m.store).want(t, exit.Accepted, "rejected", "node-7: no such worker")
}

func TestFaultySetIsRejectedBeforeTheStoreIsAsked(t *testing.T) {
	bad := write(t, strings.Replace(ledger, "service: ledger", "service: legder", 1))
	for _, verb := range []string{"apply", "diff"} {
		run(t, verb, "-f", bad, "--store", "127.0.0.1:1").want(t, exit.Rejected, "set.yaml:9:12: spec.service: Service/legder is not declared", "the set has 1 fault")
	}
	run(t, "validate", "-f", bad, "-o", "json").want(t, exit.Rejected, `"line": 9`, `"outcome": "rejected"`)
	run(t, "validate", "-f", write(t, ledger)).want(t, exit.Accepted, "the set is valid: 3 resources")
}

func TestInterruptedApplyIsUnknownAndCanBeResolvedLater(t *testing.T) {
	m := newMesh(t)
	ctx, cancel := context.WithCancel(t.Context())
	interrupt := func(text string) {
		if strings.Contains(text, "proposed as version 1") {
			cancel()
		}
	}
	set := write(t, ledger)
	var report apply.Report
	runWatched(t, ctx, interrupt, "apply", "-f", set, "--store", m.store, "-o", "json").want(t, exit.Unknown).decode(t, &report)
	if report.FindOut != "levertide history --apply-id "+report.ApplyID || report.Version != 1 {
		t.Fatalf("the report is %+v", report)
	}
	run(t, "history", "--store", m.store, "--apply-id", report.ApplyID).want(t, exit.Unknown, "proposed and not decided yet")
	m.coordinate(t, accept)
	run(t, "apply", "-f", set, "--store", m.store, "--apply-id", report.ApplyID).want(t, exit.Accepted, "version 1 is committed")
	run(t, "history", "--store", m.store, "--apply-id", report.ApplyID).want(t, exit.Accepted, "committed as version 1")
}

func TestLostAnswersAreResolvedByReadingBack(t *testing.T) {
	for name, faults := range map[string]platform.Faults{
		"answers lost":  {LoseAnswers: 2, OnlyPath: "/v1/txn"},
		"requests lost": {LoseRequests: 2, OnlyPath: "/v1/txn"},
	} {
		t.Run(name, func(t *testing.T) {
			m := newMesh(t)
			m.coordinate(t, accept)
			m.platform.SetFaults(faults)
			m.apply(t, ledger).want(t, exit.Accepted, "version 1 is committed")
			records, err := m.versions.ListVersions(t.Context(), -1)
			if err != nil || len(records) != 1 {
				t.Errorf("%d versions were written, %v", len(records), err)
			}
		})
	}
}

func TestStoreOutage(t *testing.T) {
	m := newMesh(t)
	m.platform.SetFaults(platform.Faults{Outage: platform.OutageRefuse})
	set := write(t, ledger)
	for _, arguments := range [][]string{
		{"apply", "-f", set}, {"diff", "-f", set}, {"history"}, {"history", "--apply-id", "x"},
	} {
		run(t, append(arguments, "--store", m.store)...).want(t, exit.Unreachable)
	}
	run(t, "apply", "-f", set, "--store", m.store, "--apply-id", "x").want(t, exit.Unknown, "the earlier one may have")
	m.platform.SetFaults(platform.Faults{})
	run(t, "history", "--store", "127.0.0.1:1,"+m.store).want(t, exit.Accepted)
}

func TestOutageDuringTheWait(t *testing.T) {
	for name, test := range map[string]struct {
		answer *controlpb.StatusResponse
		code   exit.Code
		text   string
	}{
		"committed, as the nodes know": {&controlpb.StatusResponse{Head: &controlpb.Head{Committed: 1}}, exit.Accepted, "version 1 is committed"},
		"nodes do not know":            {&controlpb.StatusResponse{Head: &controlpb.Head{Proposed: 1}}, exit.Unknown, "version 1 is proposed and not decided yet"},
	} {
		t.Run(name, func(t *testing.T) {
			m := newMesh(t)
			m.node.set(test.answer)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			outage := func(text string) {
				if strings.Contains(text, "proposed as version 1") {
					m.platform.SetFaults(platform.Faults{Outage: platform.OutageRefuse})
					if test.code == exit.Unknown {
						cancel()
					}
				}
			}
			runWatched(t, ctx, outage, "apply", "-f", write(t, ledger), "--store", m.store, "--node", m.node.address).
				want(t, test.code, test.text)
		})
	}
}

func TestWaitUntilInForce(t *testing.T) {
	m := newMesh(t)
	m.coordinate(t, accept)
	live := &controlpb.MemberSum{Count: 3, Hash: 99}
	inForce := &controlpb.StatusResponse{
		Head: &controlpb.Head{Committed: 1}, Live: live,
		Readiness: &controlpb.Readiness{Committed: 1, InForce: live},
	}
	partly := &controlpb.StatusResponse{
		Head: &controlpb.Head{Committed: 1}, Live: live,
		Readiness: &controlpb.Readiness{Committed: 1, InForce: &controlpb.MemberSum{Count: 2, Hash: 7}},
	}
	m.node.set(partly)
	waited := func(text string) {
		if strings.Contains(text, "waiting for it to be in force") {
			m.node.set(inForce)
		}
	}
	runWatched(t, t.Context(), waited, "apply", "-f", write(t, ledger), "--store", m.store, "--wait", "in-force", "--node", m.node.address).
		want(t, exit.Accepted, "version 1 is in force on all 3 live nodes")
}

func TestApplyAfterTheStoreWasRestored(t *testing.T) {
	m := newMesh(t)
	m.publish(t, "first")
	known := &controlpb.Head{Generation: 9, Committed: 4, HighestUsed: 4, ApplyId: "lost"}
	m.node.set(&controlpb.StatusResponse{Head: known})
	for _, set := range []string{ledger, ledger + archive} {
		m.apply(t, set, "--node", m.node.address).want(t, exit.Rejected, "nothing was written", "see --after-restore")
	}
	m.coordinate(t, accept)
	m.apply(t, ledger+archive, "--after-restore", "--node", m.node.address).want(t, exit.Accepted, "version 5 is committed")
	m.apply(t, ledger, "--after-restore", "--node", m.node.address).want(t, exit.Conflict, "the store is not behind the nodes")
}

// TestApplyAfterTheStoreHistoryDiverged applies to a restored store in which another
// apply has been committed since: its head can have the generation of the nodes' head,
// or a higher one, although the histories differ.
func TestApplyAfterTheStoreHistoryDiverged(t *testing.T) {
	m := newMesh(t)
	m.publish(t, "other")
	found := m.versions.NewestHead()
	known := &controlpb.Head{Generation: found.Generation, Committed: found.Committed, HighestUsed: found.HighestUsed, ApplyId: "lost"}
	m.node.set(&controlpb.StatusResponse{Head: known})
	m.coordinate(t, accept)
	m.apply(t, ledger+archive, "--after-restore", "--node", m.node.address).want(t, exit.Accepted, "is committed")
}

// TestKeysOfTenantsAreNotShown validates, compares and applies sets with tenants: no
// output may contain a key or its digest.
func TestKeysOfTenantsAreNotShown(t *testing.T) {
	m := newMesh(t)
	m.coordinate(t, accept)
	tenant := func(keys string) string {
		return ledger + "---\nkind: Tenant\nname: acme\nspec: {keys: [" + keys + "], rank: 1}\n"
	}
	results := []result{
		m.apply(t, tenant("marked-key-1")).want(t, exit.Accepted, "version 1 is committed"),
		run(t, "diff", "-f", write(t, tenant("marked-key-1, marked-key-2")), "--store", m.store).want(t, exit.Accepted,
			"~ Tenant/acme (keys not shown)\n    spec.keys: 1 keys -> 2 keys\n"),
		run(t, "diff", "-f", write(t, tenant("marked-key-2")), "--store", m.store).want(t, exit.Accepted, "~ Tenant/acme (keys not shown)\n"),
		run(t, "diff", "-f", write(t, tenant("marked-key-2")), "--store", m.store, "-o", "json").want(t, exit.Accepted, "acme"),
		run(t, "validate", "-f", write(t, tenant("marked-key-1, marked-key-1"))).want(t, exit.Rejected),
		run(t, "history", "--store", m.store).want(t, exit.Accepted),
	}
	digest, err := model.DigestKey("marked-key-1").MarshalText()
	if err != nil {
		t.Fatal(err)
	}
	for i, got := range results {
		if strings.Contains(got.out+got.err, "marked-key") || strings.Contains(got.out+got.err, string(digest)) {
			t.Errorf("command %d shows a key: %s%s", i, got.out, got.err)
		}
	}
}
