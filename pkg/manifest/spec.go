package manifest

import "github.com/levertide/levertide/pkg/model"

// specReader reads the spec of one kind into the body of a resource.
type specReader func(spec *objectReader, resource *model.Resource)

var specReaders = map[model.Kind]specReader{
	model.KindService: readService,
	model.KindRoute:   readRoute,
	model.KindSecret:  readSecret,
}

var (
	kindNames        = []string{string(model.KindService), string(model.KindRoute), string(model.KindSecret)}
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
	object.refuseUnknown()
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
	object.refuseUnknown()
	return credential
}

func readSecret(spec *objectReader, resource *model.Resource) {
	resource.Secret = &model.Secret{Value: spec.text("value", required)}
}
