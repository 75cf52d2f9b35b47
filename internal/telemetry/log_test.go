package telemetry

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/netip"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/levertide/levertide/internal/control"
	"github.com/levertide/levertide/internal/dataplane"
	"github.com/levertide/levertide/internal/forwarding"
	"github.com/levertide/levertide/internal/hosted"
	"github.com/levertide/levertide/pkg/canary"
	"github.com/levertide/levertide/pkg/contain"
	"github.com/levertide/levertide/pkg/model"
	"github.com/levertide/levertide/pkg/outcome"
	"github.com/levertide/levertide/pkg/quarantine"
	"github.com/levertide/levertide/pkg/quota"
	"github.com/levertide/levertide/pkg/workers"
)

// writeAll writes each event once.
func writeAll(l *Log) {
	l.Started("v1", "r", "z", "s", 7)
	l.Listening("1", "2", "3", "4")
	l.Ready()
	l.Unready("reason")
	l.StopRequested("terminated")
	calls := NewCallObserver(prometheus.NewRegistry(), l)
	calls.DrainStarted(1)
	calls.DrainFinished(dataplane.DrainReport{})
	calls.DrainFinished(dataplane.DrainReport{PeerCalls: 1})
	calls.RuntimeInForce(1, 2)
	calls.RuntimeRejected(1, errors.New("fault"))
	l.Stopped()
	l.PartFailed("control", "reason")
	l.StartFailed(errors.New("fault"))
	l.PanicContained(contain.Panic{Kind: contain.Request}, 2)
	l.MemoryNearLimit(1, 2, 3, 4)
	l.WorkerHealth(true, "reason")
	l.VersionStaged(1)
	l.VersionInForce(1, model.Digest{})
	l.VersionRefused(1, "reason")
	l.FloorLearned(1, "store")
	l.ParentChanged("p")
	l.RoleChanged(control.RoleRelay)
	l.MemberLost("m")
	l.PeerRefused("p", "reason")
	l.FloorMissing("reason")
	l.VersionCommitted(1, 0)
	l.VersionAborted(1, "n2", "reason")
	l.ReaderLeaseAcquired(1)
	l.ReaderLeaseLost(1)
	l.StoreReachable()
	l.StoreUnreachable(errors.New("fault"))
	l.StoreRegressed(errors.New("fault"))
	l.Alarm("text")
	l.CertificatesLoaded("identity", time.Unix(0, 0))
	l.CertificatesFailed(errors.New("fault"))
	l.DocumentRejected(1, errors.New("fault"))
	l.DocumentInForce(1, 2)
	l.DocumentPassedOver(1, 2, 3)
	l.ReaderRoleChanged(true)
	l.StoreRestored(2, hosted.Era{Number: 2, PreviousHighest: 20, First: 14})
	l.NodeLost("n", errors.New("fault"))
	l.NodeFound("n")
	l.NodeReplaced("n", netip.MustParseAddrPort("192.0.2.1:1"))
	l.RecallFailed("n", errors.New("fault"))
	l.WorkerChanged(workers.Worker{Instance: "i"}, "heartbeat")
	l.HeartbeatRejected(hosted.Refusal{Instance: "i", Err: errors.New("fault")})
	l.IntakeReached("callers", "memory")
	l.WorkerCallIgnored(workers.Heartbeat{Instance: "i"}, workers.Change{Ignored: workers.IgnoredUnproven})
	l.EntryRejected("n", errors.New("fault"), 1)
	l.RecordUnencodable(errors.New("e"))
	l.WorkerLimitChanged(workers.TermsChange{})
	l.WorkerLeaving(workers.TermsChange{})
	l.WorkerLimitUnreadable("i", errors.New("fault"))
	l.EntryRestored(2, 1)
	l.DrainCommitmentHeld("i", 2, true)
	l.PreviousIncarnationFound(1, 2)
	l.RolloutOrdered("ledger", "v2", time.Minute)
	l.RolloutDecided("ledger", "v2", canary.RolledBack, 0, "failures on read", 40, 9)
	l.RequestQuarantined(quarantine.Verdict{Instances: []string{"i"}}, "own worker")
	l.QuarantineEnded(quarantine.Fingerprint{}, "whole answer")
	l.SettingsReloaded(nil)
	l.LinesDropped(3)
	l.TenantOmitted(1, "it has no name")
	l.TenantLimited("t", quota.Limit{Rate: 6, Burst: 6})
	l.TenantLimitEnded("t", 2, 3, time.Second)
	forwarded := NewForwardingObserver(prometheus.NewRegistry(), l, func() {})
	forwarded.CallFinished(forwarding.CallReport{Outcome: outcome.Unknown, Tenant: "t"})
	forwarded.HopFinished(forwarding.CallReport{Outcome: outcome.Unknown, Tenant: "t"})
}

func decode(t *testing.T, output []byte) []map[string]any {
	t.Helper()
	var lines []map[string]any
	decoder := json.NewDecoder(bytes.NewReader(output))
	for decoder.More() {
		var line map[string]any
		if err := decoder.Decode(&line); err != nil {
			t.Fatal(err)
		}
		lines = append(lines, line)
	}
	return lines
}

func TestEachEventCarriesItsCatalogueEntry(t *testing.T) {
	var output bytes.Buffer
	writeAll(NewLog(&output, "n1", LevelDebug))
	written := make(map[int]map[string]any)
	for _, line := range decode(t, output.Bytes()) {
		written[int(line["event"].(float64))] = line
	}
	if len(written) != len(Catalogue()) {
		t.Errorf("%d events written, %d in the catalogue", len(written), len(Catalogue()))
	}
	for _, event := range Catalogue() {
		line := written[event.Number]
		if line["name"] != event.Name || line["level"] != string(event.Level) || line["node"] != "n1" {
			t.Errorf("event %d: %v", event.Number, line)
		}
		if difference := cmp.Diff(sorted(event.Fields), fieldsOf(line)); difference != "" {
			t.Errorf("fields of event %d: %s", event.Number, difference)
		}
	}
}

func fieldsOf(line map[string]any) []string {
	fields := []string{}
	for name := range line {
		if !slices.Contains([]string{"time", "level", "event", "name", "node"}, name) {
			fields = append(fields, name)
		}
	}
	slices.Sort(fields)
	return fields
}

func TestNumbersAreUnique(t *testing.T) {
	seen := make(map[int]bool)
	for _, event := range Catalogue() {
		if seen[event.Number] {
			t.Errorf("number %d is used twice", event.Number)
		}
		seen[event.Number] = true
	}
}

func TestLowerLevelsAreLeftOut(t *testing.T) {
	var output bytes.Buffer
	writeAll(NewLog(&output, "n1", LevelError))
	for _, line := range decode(t, output.Bytes()) {
		if line["level"] != string(LevelError) {
			t.Errorf("written: %v", line)
		}
	}
}

func TestDocumentListsEveryEvent(t *testing.T) {
	document, err := os.ReadFile("../../docs/EVENTS.md")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(document), MarkdownTable()) {
		t.Errorf("docs/EVENTS.md does not hold this table:\n%s", MarkdownTable())
	}
}

func sorted(names []string) []string {
	ordered := append([]string{}, names...)
	slices.Sort(ordered)
	return ordered
}

// TestLineStaysShortWhateverWasSent guards against log lines that quote without a bound what a
// worker or a caller has sent.
func TestLineStaysShortWhateverWasSent(t *testing.T) {
	endless := strings.Repeat("\x00é", 1<<20)
	err := errors.New(endless)
	for name, write := range map[string]func(l *Log, o *ForwardingObserver){
		"call": func(_ *Log, o *ForwardingObserver) {
			o.CallFinished(forwarding.CallReport{RequestID: endless, Reason: outcome.ConnectionLost, Cause: err})
		},
		"hop": func(_ *Log, o *ForwardingObserver) {
			o.HopFinished(forwarding.CallReport{RequestID: endless, Reason: outcome.ConnectionLost, Cause: err})
		},
		"heartbeat":  func(l *Log, _ *ForwardingObserver) { l.HeartbeatRejected(hosted.Refusal{Instance: endless, Err: err}) },
		"lost node":  func(l *Log, _ *ForwardingObserver) { l.NodeLost("n", err) },
		"store":      func(l *Log, _ *ForwardingObserver) { l.StoreUnreachable(err) },
		"worker":     func(l *Log, _ *ForwardingObserver) { l.WorkerHealth(false, endless) },
		"entry":      func(l *Log, _ *ForwardingObserver) { l.EntryRejected(endless, err, 1) },
		"part ended": func(l *Log, _ *ForwardingObserver) { l.PartFailed("part", endless) },
	} {
		t.Run(name, func(t *testing.T) {
			lines := &bytes.Buffer{}
			l := NewLog(lines, "node", LevelDebug)
			write(l, NewForwardingObserver(prometheus.NewRegistry(), l, func() {}))
			if n := lines.Len(); n == 0 || n > 8*longestText {
				t.Errorf("a line of %d bytes", n)
			}
		})
	}
}
