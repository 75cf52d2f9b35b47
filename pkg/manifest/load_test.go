package manifest_test

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/levertide/levertide/pkg/manifest"
	"github.com/levertide/levertide/pkg/model"
)

const goodSet = `# the ledger and its way in
kind: Service
name: ledger
spec:
  calls: [archive]
  slots: 6
  connections: 130
  slowStart: 20s
---
kind: Service
name: archive
spec: {calls: [], slots: 6, connections: 130, queue: 12, timeout: 1m30s}
---
kind: Secret
name: token
spec:
  value: |
    first line
    second line
---
# only a comment
---
kind: Route
name: vat
spec:
  match:
    host: ledger.example
    pathPrefix: /vat
    methods:
      - POST
  service: ledger
  repeatable: never
  credential:
    secret: token
    header: Authorization
`

func TestParseReadsEveryField(t *testing.T) {
	set, faults := manifest.Parse("set.yaml", []byte(goodSet))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	want := []model.Resource{
		{Key: model.Key{Kind: model.KindService, Name: "ledger"}, Service: &model.Service{
			Calls: []string{"archive"}, Slots: 6, Connections: 130, SlowStart: 20 * time.Second}},
		{Key: model.Key{Kind: model.KindService, Name: "archive"}, Service: &model.Service{
			Calls: []string{}, Slots: 6, Connections: 130, Queue: 12, Timeout: 90 * time.Second}},
		{Key: model.Key{Kind: model.KindSecret, Name: "token"}, Secret: &model.Secret{Value: "first line\nsecond line\n"}},
		{Key: model.Key{Kind: model.KindRoute, Name: "vat"}, Route: &model.Route{
			Match:      model.Match{Host: "ledger.example", PathPrefix: "/vat", Methods: []string{"POST"}},
			Service:    "ledger",
			Repeatable: model.RepeatNever,
			Priority:   model.PriorityNormal,
			Credential: &model.Credential{Secret: "token", Header: "Authorization"}}},
	}
	if difference := cmp.Diff(want, set.Resources()); difference != "" {
		t.Error(difference)
	}
}

func TestPositionFallsBackToTheEnclosingField(t *testing.T) {
	set, _ := manifest.Parse("set.yaml", []byte(goodSet))
	route := model.Key{Kind: model.KindRoute, Name: "vat"}
	for field, want := range map[string][2]int{
		"spec.match.pathPrefix": {28, 17},
		"spec.match.methods[0]": {30, 9},
		"spec.match.methods[7]": {29, 5},
		"spec.timeout":          {25, 1},
		"other":                 {23, 1},
	} {
		if _, line, column := set.Position(route, field); line != want[0] || column != want[1] {
			t.Errorf("%s: got %d:%d, want %v", field, line, column, want)
		}
	}
}

const (
	serviceHead = "kind: Service\nname: a\nspec:\n  slots: 1\n  connections: 1\n"
	tenantHead  = "kind: Tenant\nname: t\nspec:\n"
	routeHead   = "kind: Route\nname: r\nspec:\n  service: a\n"
)

func TestEachFaultIsPlacedAndExplained(t *testing.T) {
	for name, test := range map[string]struct{ text, want string }{
		"not YAML":             {"kind: Service\nname: \"a", `f:2:7: not YAML: could not find end character`},
		"tab":                  {"kind: Service\nspec:\n\tslots: 1", `f:3:1: not YAML: a tab cannot start a value (indent with spaces)`},
		"not a mapping":        {"- a", `f:1:1: must be a mapping of fields, not a list`},
		"unknown kind":         {"kind: Servise\nname: a\nspec: {}", `f:1:7: kind: "Servise" is not a kind of resource (did you mean Service?)`},
		"missing kind":         {"name: a\nspec: {}", `f:1:1: kind: the field is missing`},
		"missing spec":         {"kind: Secret\nname: a", `f:1:1: spec: the field is missing`},
		"empty name":           {"kind: Secret\nname: ''\nspec: {value: x}", `f:2:7: name: the field is empty`},
		"name is a number":     {"kind: Secret\nname: 12\nspec: {value: x}", `f:2:7: name: must be text, not a number (put the value in quotes)`},
		"tenant's key":         {tenantHead + "  keys: [k1, 31337]", `f:4:14: spec.keys[1]: must be text, not a number`},
		"tenant's key twice":   {tenantHead + "  keys: [k1, k2, k1]", `f:4:18: spec.keys[2]: the key is listed twice`},
		"empty key":            {tenantHead + "  keys: ['']", `f:4:10: spec.keys[0]: a key is of printable ASCII characters`},
		"key with a space":     {tenantHead + "  keys: ['hu sh']", `f:4:10: spec.keys[0]: a key is of printable ASCII characters`},
		"keys missing":         {tenantHead + "  rank: 1", `f:4:3: spec.keys: the field is missing`},
		"keys are text":        {tenantHead + "  keys: hush", `f:4:9: spec.keys: must be a list of text, not text`},
		"tenant without name":  {"kind: Tenant\nspec: {keys: [hush]}", `f:1:1: name: the field is missing`},
		"negative rank":        {tenantHead + "  keys: [k1]\n  rank: -1", `f:5:9: spec.rank: the number must be between`},
		"rate":                 {tenantHead + "  keys: [k1]\n  rate: 5", `f:5:9: spec.rate: a limit over all nodes is kept in the hosted mode only`},
		"negative burst":       {tenantHead + "  keys: [k1]\n  burst: -5", `f:5:10: spec.burst: a limit over all nodes is kept in the hosted mode only`},
		"unknown tenant field": {tenantHead + "  keys: [k1]\n  key: hush", `f:5:3: spec.key: the field "key" is not known here (did you mean keys?)`},
		"public is text":       {routeHead + "  match: {path: /}\n  public: yes-please", `f:6:11: spec.public: must be true or false, not text`},
		"unknown top field":    {"kind: Secret\nname: a\nlabels: {}\nspec: {value: x}", `f:3:1: labels: the field "labels" is not known here (one of kind, name, spec)`},
		"unknown spec field":   {serviceHead + "  slot: 1", `f:6:3: spec.slot: the field "slot" is not known here (did you mean slots?)`},
		"field twice":          {serviceHead + "  slots: 1", `f:6:3: spec.slots: the field is given twice, first at line 4`},
		"no value":             {serviceHead + "  calls:", `f:6:10: spec.calls: the field has no value`},
		"text for a list":      {serviceHead + "  calls: b", `f:6:10: spec.calls: must be a list of text, not text`},
		"number in a list":     {serviceHead + "  calls: [b, 3]", `f:6:14: spec.calls[1]: must be text, not a number`},
		"text for a number":    {serviceHead + "  queue: many", `f:6:10: spec.queue: must be a whole number, not text`},
		"fraction":             {serviceHead + "  queue: 1.5", `f:6:10: spec.queue: must be a whole number, not a number`},
		"negative number":      {serviceHead + "  queue: -1", `f:6:10: spec.queue: the number must be between`},
		"huge number":          {serviceHead + "  queue: 99999999999999999999", `spec.queue: `},
		"no unit":              {serviceHead + "  timeout: 30", `f:6:12: spec.timeout: the duration has no unit (write a number and a unit`},
		"no duration":          {serviceHead + "  timeout: soon", `f:6:12: spec.timeout: "soon" is not a duration`},
		"negative duration":    {serviceHead + "  timeout: -3s", `f:6:12: spec.timeout: "-3s" is not a duration`},
		"list for a duration":  {serviceHead + "  timeout: [3s]", `f:6:12: spec.timeout: must be text, not a list`},
		"match missing":        {routeHead, `f:4:3: spec.match: the field is missing`},
		"unknown match field":  {routeHead + "  match:\n    paths: /", `f:6:5: spec.match.paths: the field "paths" is not known here (did you mean path?)`},
		"unknown repeatable":   {routeHead + "  match: {}\n  repeatable: save", `f:6:15: spec.repeatable: "save" is not a value of this field (one of safe-methods, always, never)`},
		"repeatable as bool":   {routeHead + "  match: {}\n  repeatable: false", `f:6:15: spec.repeatable: must be text, not true or false`},
		"credential half":      {routeHead + "  match: {}\n  credential: {secret: s}", `spec.credential.header: the field is missing`},
		"anchor":               {"kind: Secret\nname: &x a\nspec: {value: x}", `f:2:7: name: must be text, not an anchor or alias (write the value out)`},
		"alias":                {"kind: Secret\nname: a\nspec: *x", `spec: must be a mapping of fields, not an anchor or alias`},
		"tag":                  {"kind: Secret\nname: a\nspec: {value: !!str 1}", `spec.value: must be text, not a tagged value`},
		"merge key":            {"kind: Secret\nname: a\nspec: {value: x}\n<<: {a: 1}", `f:4:1: a field name must be plain text`},
		"not UTF-8":            {"kind: Secret\nname: \xff", `f:2:1: the file is not UTF-8 text`},
		"document too long":    {"kind: Secret\nname: a\nspec: {value: " + strings.Repeat("x", manifest.MaxDocumentBytes) + "}", `f:1:1: the document takes more than`},
		"file too long":        {strings.Repeat("#\n", manifest.MaxFileBytes/2+1), `f: the file takes more than`},
		"duplicate":            {serviceHead + "---\n" + serviceHead, `f:8:7: name: Service/a is declared already at f:2:7`},
		"second without break": {"kind: Secret\nname: a\n...\nkind: Secret", `f`},
	} {
		t.Run(name, func(t *testing.T) {
			_, faults := manifest.Parse("f", []byte(test.text))
			if len(faults) != 1 {
				t.Fatalf("want one fault, got %d: %v", len(faults), faults)
			}
			if !strings.HasPrefix(faults[0].Error(), test.want) && !strings.Contains(faults[0].Error(), ": "+test.want) {
				t.Errorf("\n got %s\nwant %s", faults[0].Error(), test.want)
			}
		})
	}
}

func TestAllFaultsOfASetAreReportedAtOnce(t *testing.T) {
	directory := t.TempDir()
	write(t, directory, "b.yml", serviceHead+"  extra: 1\n---\nkind: \"Sec\n---\n"+serviceHead)
	write(t, directory, "sub/a.yaml", "kind: Route\nname: r\nspec: {}\n---\n"+goodSet)
	write(t, directory, "notes.txt", "not read")
	write(t, directory, ".hidden/c.yaml", "[")
	set, faults := manifest.Load(directory, filepath.Join(directory, "b.yml"), filepath.Join(directory, "absent"))
	var got []string
	for _, fault := range faults {
		got = append(got, strings.TrimPrefix(fault.Error(), directory+string(filepath.Separator)))
	}
	want := []string{
		"absent: no such file or directory",
		`b.yml:6:3: spec.extra: the field "extra" is not known here (one of calls, slots, connections, queue, slowStart, timeout)`,
		"b.yml:8:7: not YAML: could not find end character of double-quoted text",
		"b.yml:11:7: name: Service/a is declared already at " + directory + "/b.yml:2:7 (rename one of them or remove it)",
		"sub/a.yaml:3:7: spec.match: the field is missing",
		"sub/a.yaml:3:7: spec.service: the field is missing",
	}
	if difference := cmp.Diff(want, got); difference != "" {
		t.Error(difference)
	}
	if set.Complete() || len(set.Resources()) != 4 || !slices.Contains(set.UnreadKeys(), model.Key{Kind: model.KindRoute, Name: "r"}) {
		t.Errorf("complete %v, %d resources, unread %v", set.Complete(), len(set.Resources()), set.UnreadKeys())
	}
}

func write(t *testing.T, directory, name, content string) {
	t.Helper()
	path := filepath.Join(directory, name)
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
}

func TestLoadRefusesMissingPathAndDevice(t *testing.T) {
	if _, faults := manifest.Load(); len(faults) != 1 {
		t.Errorf("no path: %v", faults)
	}
	if _, faults := manifest.Load(os.DevNull); len(faults) != 1 || faults[0].Message != "not a regular file" {
		t.Errorf("a device: %v", faults)
	}
}

func TestFaultsNeverContainASecret(t *testing.T) {
	for _, text := range []string{
		"kind: Secret\nname: a\nspec: {value: \"hunter2}",
		"kind: Secret\nname: a\nspec:\n  value: hunter2: x",
		"kind: Secret\nname: a\nspec:\n  value: [hunter2]",
		"kind: Secret\nname: a\nspec:\n  value: hunter2\n  value: hunter2",
		"kind: Secret\nname: a\nspec: hunter2",
		"kind: Secret\nname: a\nspec:\n  value: hunter2\n bad",
	} {
		_, faults := manifest.Parse("f", []byte(text))
		if len(faults) == 0 {
			t.Errorf("no fault in %q", text)
		}
		for _, fault := range faults {
			if strings.Contains(fault.Error(), "hunter2") {
				t.Errorf("the fault contains the secret: %v", fault)
			}
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(goodSet))
	f.Add([]byte(serviceHead + "---\n" + routeHead))
	f.Add([]byte("--- {kind: Secret}\n...\n%YAML 1.2\n? [a]\n: &x *x\n<<: !!str 1"))
	f.Fuzz(func(t *testing.T, content []byte) {
		set, faults := manifest.Parse("f", content)
		// In YAML, a lone carriage return ends a line too.
		lines := strings.Count(string(content), "\n") + strings.Count(string(content), "\r") + 1
		for _, fault := range faults {
			if fault.Message == "" || fault.Line < 0 || fault.Line > lines {
				t.Errorf("fault out of place: %#v", fault)
			}
		}
		for _, resource := range set.Resources() {
			encoded, _ := model.Encode(resource)
			if _, err := model.Decode(encoded); err != nil {
				t.Errorf("%s cannot be encoded: %v", resource.Key, err)
			}
		}
	})
}

// TestTenantsKeysAreNotKept checks that a tenant holds only digests of its keys.
// It also checks that a route can be declared public.
func TestTenantsKeysAreNotKept(t *testing.T) {
	const text = "kind: Tenant\nname: acme\nspec:\n  keys: [marked-key, other]\n  rank: 1\n---\n" + routeHead + "  match: {path: /}\n  public: true\n"
	set, faults := manifest.Parse("f", []byte(text))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	want := &model.Tenant{Keys: []model.KeyDigest{model.DigestKey("marked-key"), model.DigestKey("other")}, Rank: 1}
	if difference := cmp.Diff(want, set.Resources()[0].Tenant); difference != "" {
		t.Error(difference)
	}
	if !set.Resources()[1].Route.Public {
		t.Error("the route is not public")
	}
	encoded, _ := model.Encode(set.Resources()[0])
	if strings.Contains(string(encoded), "marked-key") {
		t.Error("the encoding holds a key")
	}
}
