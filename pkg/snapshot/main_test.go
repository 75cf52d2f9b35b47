package snapshot_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/levertide/levertide/pkg/internal/fixedseed"
	"github.com/levertide/levertide/pkg/model"
	"github.com/levertide/levertide/pkg/snapshot"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

func service(name string, slots int, calls []string) model.Resource {
	return model.Resource{
		Key:     model.Key{Kind: model.KindService, Name: name},
		Service: &model.Service{Slots: slots, Calls: calls},
	}
}

func secret(name, value string) model.Resource {
	return model.Resource{Key: model.Key{Kind: model.KindSecret, Name: name}, Secret: &model.Secret{Value: value}}
}

func route(name, service, secret string) model.Resource {
	resource := model.Resource{
		Key:   model.Key{Kind: model.KindRoute, Name: name},
		Route: &model.Route{Match: model.Match{Host: "*", PathPrefix: "/" + name}, Service: service},
	}
	if secret != "" {
		resource.Route.Credential = &model.Credential{Secret: secret, Header: "Authorization"}
	}
	return resource
}

func build(t testing.TB, version uint64, resources ...model.Resource) *snapshot.Snapshot {
	t.Helper()
	built, err := snapshot.New(version, resources)
	if err != nil {
		t.Fatal(err)
	}
	return built
}

// drawSnapshot draws a closed set from a small pool of names, so that two draws
// often have resources in common, with the same or different content, and often
// lack some of each other's.
func drawSnapshot(t *rapid.T, version uint64) *snapshot.Snapshot {
	services := drawNames(t, "service")
	secrets := drawNames(t, "secret")
	var resources []model.Resource
	for _, name := range services {
		calls := rapid.SliceOfDistinct(rapid.SampledFrom(services), rapid.ID).Draw(t, "calls")
		if rapid.Bool().Draw(t, "calls everything") {
			calls = nil
		}
		resources = append(resources, service(name, rapid.IntRange(1, 3).Draw(t, "slots"), calls))
	}
	for _, name := range secrets {
		resources = append(resources, secret(name, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "value")))
	}
	if len(services) > 0 {
		for _, name := range drawNames(t, "route") {
			credential := rapid.SampledFrom(append(secrets, "")).Draw(t, "credential")
			drawn := route(name, rapid.SampledFrom(services).Draw(t, "target"), credential)
			drawn.Route.Match.PathPrefix = rapid.SampledFrom([]string{"/", "/" + name, "/route-0/x"}).Draw(t, "prefix")
			resources = append(resources, drawn)
		}
	}
	for _, name := range drawNames(t, "tenant") {
		rank := rapid.IntRange(0, 1).Draw(t, "rank")
		resources = append(resources, model.Resource{Key: model.Key{Kind: model.KindTenant, Name: name}, Tenant: &model.Tenant{Rank: rank}})
	}
	built, err := snapshot.New(version, rapid.Permutation(resources).Draw(t, "order"))
	if err != nil {
		t.Fatal(err)
	}
	return built
}

func drawNames(t *rapid.T, label string) []string {
	var names []string
	for i := range 5 {
		if rapid.Bool().Draw(t, label) {
			names = append(names, fmt.Sprintf("%s-%d", label, i))
		}
	}
	return names
}

func drawScope(t *rapid.T) snapshot.Scope {
	return snapshot.Scope{
		All:     rapid.IntRange(0, 9).Draw(t, "all") == 0,
		Service: fmt.Sprintf("service-%d", rapid.IntRange(0, 5).Draw(t, "scope")),
	}
}
