package changes

import (
	"strconv"
	"strings"
	"time"

	"github.com/levertide/levertide/pkg/model"
)

// field is one field of a resource as text, under its name in the files.
type field struct{ name, text string }

// fieldsOf returns the fields of a service, a route or a tenant. Resources of one kind
// always have the same fields in the same order. Secrets have no fields, and of the keys
// of tenants only the number is shown.
func fieldsOf(resource model.Resource) []field {
	switch {
	case resource.Service != nil:
		return serviceFields(*resource.Service)
	case resource.Route != nil:
		return routeFields(*resource.Route)
	case resource.Tenant != nil:
		return tenantFields(*resource.Tenant)
	default:
		return nil
	}
}

func tenantFields(tenant model.Tenant) []field {
	return []field{
		{"spec.rank", strconv.Itoa(tenant.Rank)},
		{"spec.keys", strconv.Itoa(len(tenant.Keys)) + " keys"},
	}
}

func serviceFields(service model.Service) []field {
	return []field{
		{"spec.calls", callsText(service.Calls)},
		{"spec.slots", strconv.Itoa(service.Slots)},
		{"spec.connections", strconv.Itoa(service.Connections)},
		{"spec.queue", strconv.Itoa(service.Queue)},
		{"spec.slowStart", durationText(service.SlowStart)},
		{"spec.timeout", durationText(service.Timeout)},
	}
}

func routeFields(route model.Route) []field {
	var credential model.Credential
	if route.Credential != nil {
		credential = *route.Credential
	}
	return []field{
		{"spec.match.host", route.Match.Host},
		{"spec.match.path", route.Match.Path},
		{"spec.match.pathPrefix", route.Match.PathPrefix},
		{"spec.match.pathStart", route.Match.PathStart},
		{"spec.match.methods", strings.Join(route.Match.Methods, ", ")},
		{"spec.service", route.Service},
		{"spec.repeatable", string(route.Repeatable)},
		{"spec.priority", string(route.Priority)},
		{"spec.timeout", durationText(route.Timeout)},
		{"spec.credential.secret", credential.Secret},
		{"spec.credential.header", credential.Header},
		{"spec.public", strconv.FormatBool(route.Public)},
	}
}

func callsText(calls []string) string {
	if calls == nil {
		return ""
	}
	return "[" + strings.Join(calls, ", ") + "]"
}

func durationText(duration time.Duration) string {
	if duration == 0 {
		return ""
	}
	return duration.String()
}

// compareFields returns the fields whose texts differ.
func compareFields(before, after []field) []FieldChange {
	var changes []FieldChange
	for i := range before {
		if before[i].text != after[i].text {
			changes = append(changes, FieldChange{Field: before[i].name, From: before[i].text, To: after[i].text})
		}
	}
	return changes
}
