package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"reflect"
	"regexp"
	"strings"

	"github.com/go-playground/validator/v10"

	"github.com/levertide/levertide/pkg/endpoint"
)

// defaultSource is the Problem.Source of a key that no source has set.
const defaultSource = "default"

var identifierPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

var meshPattern = regexp.MustCompile(`^[a-z0-9-]{1,64}$`)

func newValidator() *validator.Validate {
	check := validator.New(validator.WithRequiredStructEnabled())
	check.RegisterTagNameFunc(func(field reflect.StructField) string { return field.Tag.Get("key") })
	rules := map[string]func(string) bool{
		"identifier": identifierPattern.MatchString,
		"mesh":       meshPattern.MatchString,
		"endpoint":   isEndpoint,
		"listener":   isListener,
		"store":      isStoreAddress,
	}
	for name, rule := range rules {
		err := check.RegisterValidation(name, func(field validator.FieldLevel) bool { return rule(field.Field().String()) })
		if err != nil {
			panic(fmt.Sprintf("settings: rule %s: %v", name, err))
		}
	}
	return check
}

func validate(s Settings, origins map[string]string) []Problem {
	problems := fieldProblems(s, origins)
	problems = append(problems, unreachableListeners(s, origins)...)
	if !s.TLSEnabled() && !s.PrivateNetwork {
		problems = append(problems, exposedListeners(s, origins)...)
	}
	return problems
}

func fieldProblems(s Settings, origins map[string]string) []Problem {
	err := newValidator().Struct(s)
	faults, isFaults := err.(validator.ValidationErrors)
	if !isFaults {
		return nil
	}
	problems := make([]Problem, 0, len(faults))
	for _, fault := range faults {
		name, _, _ := strings.Cut(fault.Field(), "[")
		problems = append(problems, newProblem(name, fmt.Sprint(fault.Value()), message(fault.Tag()), origins))
	}
	return problems
}

func message(tag string) string {
	switch tag {
	case "required":
		return "is missing"
	case "required_with":
		return "is missing beside the settings that need it"
	case "min":
		return "is too small"
	case "max":
		return "is too large"
	case "file":
		return "is not a readable file"
	default:
		return "is not allowed"
	}
}

// exposedListeners refuses listeners that other machines can reach. It applies when
// neither certificates nor a private network authenticate the clients.
func exposedListeners(s Settings, origins map[string]string) []Problem {
	listeners := []struct{ name, address string }{
		{"caller-address", s.CallerAddress},
		{"call-address", s.CallAddress},
		{"control-address", s.ControlAddress},
		{"admin-address", s.AdminAddress},
		{"readiness-address", s.ReadinessAddress},
		{"metrics-address", s.MetricsAddress},
	}
	var problems []Problem
	for _, listener := range listeners {
		parsed, err := netip.ParseAddrPort(listener.address)
		if err == nil && !parsed.Addr().IsLoopback() {
			problems = append(problems, newProblem(listener.name, listener.address, "is not a loopback address, and neither TLS nor private-network is set", origins))
		}
	}
	return problems
}

// unreachableListeners refuses listeners on the unspecified address (all addresses
// of the machine) without an advertised address, since other nodes would not know
// which address to connect to.
func unreachableListeners(s Settings, origins map[string]string) []Problem {
	listeners := []struct{ name, address, advertised string }{
		{"call-address", s.CallAddress, s.AdvertiseCallAddress},
		{"control-address", s.ControlAddress, s.AdvertiseControlAddress},
	}
	var problems []Problem
	for _, listener := range listeners {
		parsed, err := netip.ParseAddrPort(listener.address)
		if err == nil && parsed.Addr().IsUnspecified() && listener.advertised == "" {
			problems = append(problems, newProblem(listener.name, listener.address, "is every address of the machine and advertise-"+listener.name+" is not set", origins))
		}
	}
	return problems
}

func newProblem(name, value, text string, origins map[string]string) Problem {
	source, found := origins[name]
	if !found {
		source = defaultSource
	}
	return Problem{Key: name, Value: value, Source: source, Message: text, Allowed: allowedValues(name)}
}

func allowedValues(name string) string {
	for _, key := range Keys() {
		if key.Name == name {
			return key.Allowed
		}
	}
	return ""
}

func isListener(text string) bool {
	_, err := netip.ParseAddrPort(text)
	return err == nil
}

func isEndpoint(text string) bool {
	_, err := endpoint.Parse(text)
	return err == nil
}

func isStoreAddress(text string) bool {
	if isEndpoint(text) {
		return true
	}
	parsed, err := url.Parse(text)
	if err != nil || parsed.User != nil || parsed.RawQuery != "" {
		return false
	}
	return (parsed.Scheme == "http" || parsed.Scheme == "https") && isEndpoint(parsed.Host)
}
