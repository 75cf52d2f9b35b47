package model_test

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/joomcode/errorx"

	"github.com/levertide/levertide/pkg/model"
)

func samples() []model.Resource {
	return []model.Resource{
		{Key: model.Key{Kind: model.KindService, Name: "ledger"}, Service: &model.Service{Slots: 6, Timeout: time.Second}},
		{Key: model.Key{Kind: model.KindService, Name: "alone"}, Service: &model.Service{Calls: []string{}}},
		{Key: model.Key{Kind: model.KindSecret, Name: "token"}, Secret: &model.Secret{Value: "a<b>&\u2028\"\\ufffd \ufffd"}},
		{Key: model.Key{Kind: model.KindRoute, Name: "vat"}, Route: &model.Route{
			Match:      model.Match{Host: "*", PathPrefix: "/vat", Methods: []string{"POST"}},
			Service:    "ledger",
			Repeatable: model.RepeatNever,
			Credential: &model.Credential{Secret: "token", Header: "Authorization"},
		}},
		{Key: model.Key{Kind: model.KindTenant, Name: "acme"}, Tenant: &model.Tenant{
			Keys: []model.KeyDigest{model.DigestKey("k1"), model.DigestKey("k2")}, Rank: 1, Rate: 0.5, Burst: 3,
		}},
		{Key: model.Key{Kind: model.KindOutOfScope, Name: "books"}, OutOfScope: &model.Match{Host: "*", Path: "/books"}},
	}
}

func TestEncodeDecodeRoundTrip(t *testing.T) {
	for _, resource := range samples() {
		encoded, digest := model.Encode(resource)
		decoded, err := model.Decode(encoded)
		if err != nil {
			t.Fatalf("%s: %v", resource.Key, err)
		}
		if difference := cmp.Diff(resource, decoded); difference != "" {
			t.Errorf("%s: %s", resource.Key, difference)
		}
		if _, again := model.Encode(decoded); again != digest {
			t.Errorf("%s: the digest changed", resource.Key)
		}
	}
}

func TestEncodeRepairsTextThatIsNotUTF8(t *testing.T) {
	encoded, _ := model.Encode(model.Resource{Key: model.Key{Kind: model.KindSecret, Name: "s"}, Secret: &model.Secret{Value: "a\xffb"}})
	decoded, err := model.Decode(encoded)
	if err != nil {
		t.Fatal(err)
	}
	if decoded.Secret.Value != "a\ufffdb" {
		t.Errorf("got %q", decoded.Secret.Value)
	}
}

func TestDecodeRefusesWhatEncodeWouldNotWrite(t *testing.T) {
	const good = `{"key":{"kind":"Secret","name":"s"},"secret":{"value":"hush"}}`
	if _, err := model.Decode([]byte(good)); err != nil {
		t.Fatal(err)
	}
	for name, encoded := range map[string]string{
		"nothing":       "",
		"cut short":     good[:len(good)-3],
		"spacing":       strings.Replace(good, ":", ": ", 1),
		"trailing":      good + "{}",
		"unknown field": strings.Replace(good, `"value"`, `"valeu"`, 1),
		"letter case":   strings.Replace(good, `"value"`, `"Value"`, 1),
		"wrong type":    strings.Replace(good, `"hush"`, `31337`, 1),
		"other kind":    strings.Replace(good, `"Secret"`, `"Route"`, 1),
		"unknown kind":  strings.Replace(good, `"Secret"`, `"Hush"`, 1),
		"no body":       `{"key":{"kind":"Secret","name":"s"}}`,
		"two bodies":    strings.Replace(good, `"secret"`, `"route":{"match":{"host":""},"service":"","repeatable":"","priority":"","timeout":0},"secret"`, 1),
	} {
		_, err := model.Decode([]byte(encoded))
		if !errorx.IsOfType(err, model.ErrMalformed) {
			t.Errorf("%s: got %v", name, err)
			continue
		}
		if strings.Contains(err.Error(), "hush") || strings.Contains(err.Error(), "31337") {
			t.Errorf("%s: the error contains the secret: %v", name, err)
		}
	}
}
