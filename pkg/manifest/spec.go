package manifest

import (
	"fmt"
	"slices"
	"strings"

	"github.com/levertide/levertide/pkg/model"
)

// specReader reads the spec of one kind of resource into resource.
type specReader func(spec *objectReader, resource *model.Resource)

var specReaders = map[model.Kind]specReader{
	model.KindService: readService,
	model.KindRoute:   readRoute,
	model.KindSecret:  readSecret,
	model.KindTenant:  readTenant,
}

var (
	kindNames        = []string{string(model.KindService), string(model.KindRoute), string(model.KindSecret), string(model.KindTenant)}
	repeatableValues = []string{string(model.RepeatSafeMethods), string(model.RepeatAlways), string(model.RepeatNever)}
	priorityValues   = []string{string(model.PriorityLow), string(model.PriorityNormal), string(model.PriorityHigh)}
)

func readService(spec *objectReader, resource *model.Resource) {
	resource.Service = &model.Service{
		Calls:       spec.textList("calls"),
		Slots:       spec.integer("slots", required),
		Connections: spec.integer("connections", required),
		Queue:       spec.integer("queue", optional),
		SlowStart:   spec.duration("slowStart"),
		Timeout:     spec.duration("timeout"),
	}
}

func readRoute(spec *objectReader, resource *model.Resource) {
	resource.Route = &model.Route{
		Match:      readMatch(spec),
		Service:    spec.text("service", required),
		Repeatable: model.Repeatable(spec.choice("repeatable", string(model.RepeatSafeMethods), repeatableValues)),
		Priority:   model.Priority(spec.choice("priority", string(model.PriorityNormal), priorityValues)),
		Timeout:    spec.duration("timeout"),
		Credential: readCredential(spec),
		Public:     spec.boolean("public"),
	}
}

func readMatch(spec *objectReader) model.Match {
	object, found := spec.object("match", required)
	if !found {
		return model.Match{}
	}
	match := model.Match{
		Host:       object.text("host", optional),
		Path:       object.text("path", optional),
		PathPrefix: object.text("pathPrefix", optional),
		Methods:    object.textList("methods"),
	}
	if match.Host == "" {
		match.Host = model.AnyHost
	}
	if len(match.Methods) == 0 {
		match.Methods = nil
	}
	object.reportUnknown()
	return match
}

func readCredential(spec *objectReader) *model.Credential {
	object, found := spec.object("credential", optional)
	if !found {
		return nil
	}
	credential := &model.Credential{
		Secret: object.text("secret", required),
		Header: object.text("header", required),
	}
	object.reportUnknown()
	return credential
}

func readSecret(spec *objectReader, resource *model.Resource) {
	resource.Secret = &model.Secret{Value: spec.text("value", required)}
}

// readTenant stores only the digests of the keys, not the keys themselves.
func readTenant(spec *objectReader, resource *model.Resource) {
	spec.reportRateLimits()
	resource.Tenant = &model.Tenant{Keys: spec.keys("keys"), Rank: spec.integer("rank", optional)}
}

// reportRateLimits reports the fields of a limit over all nodes. In the mode that
// reads files, no component counts calls over all nodes.
func (o *objectReader) reportRateLimits() {
	for _, name := range []string{"rate", "burst"} {
		if _, found := o.get(name, optional); found {
			o.reportField(name, "a limit over all nodes is kept in the hosted mode only", "remove the field")
		}
	}
}

// keys returns the digests of a list of keys. No fault contains a key.
func (o *objectReader) keys(name string) []model.KeyDigest {
	if _, found := o.get(name, required); !found {
		return nil
	}
	list := o.textList(name)
	digests := make([]model.KeyDigest, 0, len(list))
	for index, key := range list {
		field := fmt.Sprintf("%s[%d]", name, index)
		digest := model.DigestKey(key)
		switch {
		case key == "" || strings.ContainsFunc(key, notAllowedInKey):
			o.reportField(field, "a key is of printable ASCII characters without spaces", "")
		case slices.Contains(digests, digest):
			o.reportField(field, "the key is listed twice", "")
		}
		digests = append(digests, digest)
	}
	return digests
}

// notAllowedInKey reports whether a key must not contain r, because a header does
// not carry r unchanged.
func notAllowedInKey(r rune) bool { return r <= ' ' || r >= 0x7f }
