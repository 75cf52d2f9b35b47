package snapshot_test

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"slices"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/klauspost/compress/zstd"

	"github.com/levertide/levertide/pkg/model"
	"github.com/levertide/levertide/pkg/snapshot"
)

func requireType(t interface {
	Helper()
	Fatalf(string, ...any)
}, err error, want *errorx.Type) {
	t.Helper()
	if !errorx.IsOfType(err, want) {
		t.Fatalf("got %v, want %s", err, want.FullName())
	}
}

func TestNewRefusesInvalidSets(t *testing.T) {
	ledger := service("ledger", 1, nil)
	for name, test := range map[string]struct {
		resources []model.Resource
		want      *errorx.Type
	}{
		"route without its service": {[]model.Resource{route("r", "ledger", "")}, snapshot.ErrDanglingReference},
		"route without its secret":  {[]model.Resource{ledger, route("r", "ledger", "s")}, snapshot.ErrDanglingReference},
		"one key twice":             {[]model.Resource{ledger, service("ledger", 2, nil)}, snapshot.ErrDuplicate},
		"no body":                   {[]model.Resource{{Key: ledger.Key}}, model.ErrMalformed},
		"route out of scope": {[]model.Resource{ledger, {
			Key: model.Key{Kind: model.KindOutOfScope, Name: "r"}, OutOfScope: &model.Match{Host: "*", PathPrefix: "/"},
		}}, snapshot.ErrNotDeclarable},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := snapshot.New(1, test.resources)
			requireType(t, err, test.want)
		})
	}
}

func TestDeltaThatWouldDangleIsRefused(t *testing.T) {
	base := build(t, 1, service("ledger", 1, nil), route("r", "ledger", ""))
	delta := snapshot.Diff(base, build(t, 2, service("ledger", 1, nil)))
	delta.Removed = []model.Key{{Kind: model.KindService, Name: "ledger"}}
	_, err := delta.Apply(base)
	requireType(t, err, snapshot.ErrDanglingReference)
}

func TestEmptyDeltaMustMatchItsTargetDigest(t *testing.T) {
	base := build(t, 1, service("ledger", 1, nil))
	delta := snapshot.Diff(base, base.WithVersion(2))
	applied, err := delta.Apply(base)
	if err != nil || applied.Version() != 2 || applied.Digest() != base.Digest() {
		t.Fatalf("got %v, %v", applied, err)
	}
	delta.TargetDigest = snapshot.Empty().Digest()
	_, err = delta.Apply(base)
	requireType(t, err, snapshot.ErrDigestMismatch)
}

func TestApplyAndRestrictShareResources(t *testing.T) {
	base := build(t, 1, service("ledger", 1, []string{}), service("other", 1, []string{}))
	target := build(t, 2, service("ledger", 1, []string{}), service("other", 2, []string{}))
	applied, err := snapshot.Diff(base, target).Apply(base)
	if err != nil {
		t.Fatal(err)
	}
	before, _ := base.Service("ledger")
	after, _ := applied.Restrict(snapshot.Scope{Service: "ledger"}).Service("ledger")
	if before != after {
		t.Error("the unchanged service was copied")
	}
}

func TestDecodeDeltaRefusesBadPayloads(t *testing.T) {
	compress := func(text string) []byte {
		encoder, err := zstd.NewWriter(nil)
		if err != nil {
			t.Fatal(err)
		}
		return encoder.EncodeAll([]byte(text), nil)
	}
	bomb := compress(`{"removed":[` + string(bytes.Repeat([]byte(" "), snapshot.MaxPayloadBytes+1)) + `]}`)
	for name, test := range map[string]struct {
		payload []byte
		want    *errorx.Type
	}{
		"not compressed":     {[]byte("{}"), snapshot.ErrMalformedDelta},
		"not a list":         {compress("[]"), snapshot.ErrMalformedDelta},
		"unknown field":      {compress(`{"inserted":[]}`), snapshot.ErrMalformedDelta},
		"trailing":           {compress(`{}{}`), snapshot.ErrMalformedDelta},
		"malformed resource": {compress(`{"upserts":[{"key":{}}]}`), snapshot.ErrMalformedDelta},
		"too large":          {bomb, snapshot.ErrTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := snapshot.DecodeDelta(snapshot.Delta{}, test.payload)
			requireType(t, err, test.want)
		})
	}
}

func TestHistoryKeepsTheHighestVersions(t *testing.T) {
	history := snapshot.NewHistory(2)
	if _, found := history.Latest(); found {
		t.Error("an empty history has a latest snapshot")
	}
	for _, version := range []uint64{5, 3, 9, 9, 4} {
		history.Add(snapshot.Empty().WithVersion(version))
	}
	for version, want := range map[uint64]bool{3: false, 4: false, 5: true, 9: true} {
		if _, found := history.Get(version); found != want {
			t.Errorf("version %d retained: %v", version, found)
		}
	}
	if latest, _ := history.Latest(); latest.Version() != 9 || history.Len() != 2 {
		t.Errorf("latest is %d of %d", latest.Version(), history.Len())
	}
}

// meshOf returns a set shaped like that of a large mesh: each service calls
// three others and has two routes, of which one uses a secret.
func meshOf(b *testing.B, services int, changed int) *snapshot.Snapshot {
	var resources []model.Resource
	for i := range services {
		name := fmt.Sprintf("grootboek-%03d", i)
		calls := make([]string, 0, 3)
		for step := 1; step <= 3; step++ {
			calls = append(calls, fmt.Sprintf("grootboek-%03d", (i+step)%services))
		}
		slots := 6
		if i == changed {
			slots = 7
		}
		resources = append(resources,
			service(name, slots, calls),
			secret("secret-"+name, "value-"+name),
			route("plain-"+name, name, ""),
			route("secret-"+name, name, "secret-"+name))
	}
	return build(b, uint64(changed+2), resources...)
}

const benchmarkServices = 310

func BenchmarkDiff(b *testing.B) {
	base, target := meshOf(b, benchmarkServices, -1), meshOf(b, benchmarkServices, 7)
	b.ReportAllocs()
	for b.Loop() {
		_ = snapshot.Diff(base, target)
	}
}

func BenchmarkApply(b *testing.B) {
	base, target := meshOf(b, benchmarkServices, -1), meshOf(b, benchmarkServices, 7)
	delta := snapshot.Diff(base, target)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := delta.Apply(base); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkRestrict restricts to a service whose routes overlap with no other,
// and to one that also calls a service whose route overlaps with every other.
func BenchmarkRestrict(b *testing.B) {
	rest := route("rest", "rest", "")
	rest.Route.Match.PathPrefix = "/"
	base := build(b, 1, append(slices.Collect(meshOf(b, benchmarkServices, -1).Resources()),
		service("rest", 1, []string{}), rest, service("overlapping", 1, []string{"rest", "grootboek-007"}))...)
	for _, name := range []string{"grootboek-007", "overlapping"} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			var part *snapshot.Snapshot
			for b.Loop() {
				part = base.Restrict(snapshot.Scope{Service: name})
			}
			payload, err := snapshot.Diff(nil, part).Encode()
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(payload)), "payload-bytes")
		})
	}
}

func BenchmarkEncode(b *testing.B) {
	base, target := meshOf(b, benchmarkServices, -1), meshOf(b, benchmarkServices, 7)
	for name, delta := range map[string]snapshot.Delta{
		"one change": snapshot.Diff(base, target),
		"whole":      snapshot.Diff(nil, target),
		"scoped":     snapshot.Diff(nil, target.Restrict(snapshot.Scope{Service: "grootboek-007"})),
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			var payload []byte
			for b.Loop() {
				payload, _ = delta.Encode()
			}
			b.ReportMetric(float64(len(payload)), "payload-bytes")
		})
	}
}

// TestPayloadsOfOtherProgramVersionsStayReadable decodes a payload written when
// dictionary 1 was introduced. It must never need a change.
func TestPayloadsOfOtherProgramVersionsStayReadable(t *testing.T) {
	const written = "KLUv/UEAASUAbQEAQHZhdCJsZWRnDABQFoJVNgIWGRi9EVyvDOPrQCy5GjQlqmYA8Y3mfDuwMAYI"
	payload, err := base64.StdEncoding.DecodeString(written)
	if err != nil {
		t.Fatal(err)
	}
	target := build(t, 2, service("ledger", 6, nil), route("vat", "ledger", ""))
	received, err := snapshot.DecodeDelta(snapshot.Diff(nil, target), payload)
	if err != nil {
		t.Fatal(err)
	}
	applied, err := received.Apply(nil)
	if err != nil || applied.Digest() != target.Digest() {
		t.Fatalf("got %v, %v", applied, err)
	}
}
