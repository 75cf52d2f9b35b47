package settings

import (
	"flag"
	"strconv"
	"strings"
	"time"
)

// Key describes one setting for help texts and documents.
type Key struct {
	// Name is the name of the flag and of the key in the settings file. The
	// environment variable is the name in upper case with the prefix LEVERTIDE_.
	Name string
	// Usage says what the setting does.
	Usage string
	// Allowed says which values are accepted.
	Allowed string
	// Default is the value used when none is given; empty for no default.
	Default string

	bind func(*Settings) flag.Value
}

// EnvironmentVariable returns the name of the variable that sets the key.
func (k Key) EnvironmentVariable() string {
	return environmentPrefix + "_" + strings.ToUpper(strings.ReplaceAll(k.Name, "-", "_"))
}

const (
	allowedIdentifier = "1 to 63 of a-z, 0-9, '.', '_' and '-', starting with a letter or digit"
	allowedMesh       = "up to 64 of a-z, 0-9 and '-'"
	allowedListener   = "IP:port, port 0 for any free one; a loopback address unless TLS or private-network is set"
	allowedShare      = "number from 0 to 1"
	allowedEndpoint   = "IP:port with a port from 1 to 65535"
	allowedPEM        = "path of a readable PEM file; tls-ca, tls-cert and tls-key are set together or not at all"
	allowedBound      = "duration from 100ms to 60s, such as 2s"
	loopbackAnyPort   = "127.0.0.1:0"
)

// Keys returns every setting in the order in which docs/SETTINGS.md lists them.
func Keys() []Key {
	return []Key{
		{"node-id", "name of this node, shared with no other live node", allowedIdentifier, "", func(s *Settings) flag.Value { return (*textValue)(&s.NodeID) }},
		{"mesh", "name of the mesh; nodes of another mesh are not listened to", allowedMesh, "", func(s *Settings) flag.Value { return (*textValue)(&s.Mesh) }},
		{"mode", "who decides the configuration: the operators' file sets, or a platform that keeps an accepted document", "standalone or hosted", ModeStandalone, func(s *Settings) flag.Value { return (*textValue)(&s.Mode) }},
		{"region", "region that the node is in", allowedIdentifier, "", func(s *Settings) flag.Value { return (*textValue)(&s.Region) }},
		{"zone", "zone that the node is in", allowedIdentifier, "", func(s *Settings) flag.Value { return (*textValue)(&s.Zone) }},
		{"service", "service of the worker beside the node; empty for none", allowedIdentifier, "", func(s *Settings) flag.Value { return (*textValue)(&s.Service) }},
		{"worker-address", "address of the worker beside the node; in hosted mode heartbeats from another one are refused", allowedEndpoint + "; required with service", "", func(s *Settings) flag.Value { return (*textValue)(&s.WorkerAddress) }},
		{"gateway", "hold every resource, whatever the service calls", "true or false", "false", func(s *Settings) flag.Value { return (*switchValue)(&s.Gateway) }},
		{"caller-address", "listener for callers", allowedListener, loopbackAnyPort, func(s *Settings) flag.Value { return (*textValue)(&s.CallerAddress) }},
		{"call-address", "listener for calls from other nodes", allowedListener, loopbackAnyPort, func(s *Settings) flag.Value { return (*textValue)(&s.CallAddress) }},
		{"control-address", "listener for control messages from other nodes", allowedListener, loopbackAnyPort, func(s *Settings) flag.Value { return (*textValue)(&s.ControlAddress) }},
		{"admin-address", "listener for health, metrics and status", allowedListener, loopbackAnyPort, func(s *Settings) flag.Value { return (*textValue)(&s.AdminAddress) }},
		{"readiness-address", "listener that tells whether callers may come; hosted mode", allowedListener + "; empty for none", "", func(s *Settings) flag.Value { return (*textValue)(&s.ReadinessAddress) }},
		{"metrics-address", "listener for metrics; hosted mode", allowedListener + "; empty for none", "", func(s *Settings) flag.Value { return (*textValue)(&s.MetricsAddress) }},
		{"private-network", "whoever reaches the listeners may be trusted, so that they need no TLS", "true or false", "false", func(s *Settings) flag.Value { return (*switchValue)(&s.PrivateNetwork) }},
		{"advertise-call-address", "address at which other nodes reach call-address, when it differs", allowedEndpoint, "", func(s *Settings) flag.Value { return (*textValue)(&s.AdvertiseCallAddress) }},
		{"advertise-control-address", "address at which other nodes reach control-address, when it differs", allowedEndpoint, "", func(s *Settings) flag.Value { return (*textValue)(&s.AdvertiseControlAddress) }},
		{"source-address", "local address of outgoing connections", "IP address", "", func(s *Settings) flag.Value { return (*textValue)(&s.SourceAddress) }},
		{"seeds", "control addresses of some other nodes, for a start while the store is down", "comma-separated list or YAML list; each " + allowedEndpoint, "", func(s *Settings) flag.Value { return (*listValue)(&s.Seeds) }},
		{"store-address", "servers of the platform's key-value service", "comma-separated list or YAML list of at least one; each IP:port or http(s)://IP:port", "", func(s *Settings) flag.Value { return (*listValue)(&s.StoreAddresses) }},
		{"fan-out", "children of one relay; 0 works it out from the byte budget", "whole number from 0 to 256", "0", func(s *Settings) flag.Value { return (*numberValue)(&s.FanOut) }},
		{"hold", "how long a watch may be held before it is answered", allowedBound, "3s", func(s *Settings) flag.Value { return (*durationValue)(&s.Hold) }},
		{"silent-bound", "how long silent nodes may hold up a rollout", allowedBound, "2s", func(s *Settings) flag.Value { return (*durationValue)(&s.UnresponsiveBound) }},
		{"drain-bound", "how long a planned stop waits for calls in flight", "duration from 0s to 1h", "10m", func(s *Settings) flag.Value { return (*durationValue)(&s.DrainBound) }},
		{"heartbeat-interval", "how often a worker tells of itself; hosted mode", allowedBound, "1500ms", func(s *Settings) flag.Value { return (*durationValue)(&s.HeartbeatInterval) }},
		{"stop-notice", "how long a node that stops still takes calls; hosted mode", "duration from 0s to 10m", "2300ms", func(s *Settings) flag.Value { return (*durationValue)(&s.StopNotice) }},
		{"first-start", "the whole mesh starts for the first time, so that no node has had a former life; hosted mode", "true or false", "false", func(s *Settings) flag.Value { return (*switchValue)(&s.FirstStart) }},
		{"link-speed", "how much the link of this machine carries each way, in Mbit/s, so that long bodies leave room for other calls; 0 when it is not known; hosted mode", "number from 0 to 1000000000", "0", func(s *Settings) flag.Value { return (*fractionValue)(&s.LinkSpeed) }},
		{"capacity", "how much this machine can carry, compared with others, as by the speed of its link; the larger ones read the store for all; 0 when it is not known; hosted mode", "number from 0 to 1000000000", "0", func(s *Settings) flag.Value { return (*fractionValue)(&s.Capacity) }},
		{"retry-ratio", "retries to a service, over all nodes, as a share of its requests; hosted mode", allowedShare, "0.2", func(s *Settings) flag.Value { return (*fractionValue)(&s.RetryRatio) }},
		{"lift-quarantine", "fingerprints of requests that are run again although they were found to crash workers (events 613, 701); read at SIGHUP; hosted mode", "comma-separated list or YAML list; each 32 hexadecimal digits", "", func(s *Settings) flag.Value { return (*listValue)(&s.LiftQuarantine) }},
		{"retry-slack", "retries to a service allowed beside that in each window, over all nodes; hosted mode", "number from 0 to 1000000", "64", func(s *Settings) flag.Value { return (*fractionValue)(&s.RetrySlack) }},
		{"retry-window", "time over which retries are bounded; hosted mode", "duration from 100ms to 10m", "10s", func(s *Settings) flag.Value { return (*durationValue)(&s.RetryWindow) }},
		{"quota-overage", "by what share of it all nodes together may exceed the limit of a tenant in any window; hosted mode", allowedShare, "0.1", func(s *Settings) flag.Value { return (*fractionValue)(&s.QuotaOverage) }},
		{"quota-slack", "by how many requests all nodes together may exceed the limit of a tenant in any window, beside that; hosted mode", "number from 0 to 1000000", "20", func(s *Settings) flag.Value { return (*fractionValue)(&s.QuotaSlack) }},
		{"memory-limit", "memory of the process in MiB, which the collector keeps within, and from which the bounds on what clients hold follow in hosted mode; 0 for the choice of the collector, and bounds as for 512", "whole number from 0 to 1048576", "0", func(s *Settings) flag.Value { return (*numberValue)(&s.MemoryLimit) }},
		{"descriptor-limit", "open files and sockets of the process, from which the bounds on connections follow; 0, or more than the operating system allows, for what that allows; hosted mode", "whole number from 0 to 16777216", "0", func(s *Settings) flag.Value { return (*numberValue)(&s.DescriptorLimit) }},
		{"max-resources", "most resources in a version that the node accepts", "whole number from 1 to 1000000", "2000", func(s *Settings) flag.Value { return (*numberValue)(&s.MaxResources) }},
		{"tls-ca", "certificates of the authorities that nodes are checked against", allowedPEM, "", func(s *Settings) flag.Value { return (*textValue)(&s.TLSCA) }},
		{"tls-cert", "certificate of this node", allowedPEM, "", func(s *Settings) flag.Value { return (*textValue)(&s.TLSCert) }},
		{"tls-key", "private key of this node", allowedPEM, "", func(s *Settings) flag.Value { return (*textValue)(&s.TLSKey) }},
		{"log-level", "lowest level of events that are written", "debug, info, warn or error", "info", func(s *Settings) flag.Value { return (*textValue)(&s.LogLevel) }},
	}
}

type textValue string

func (v *textValue) Set(text string) error { *v = textValue(text); return nil }
func (v *textValue) String() string        { return string(*v) }

type switchValue bool

func (v *switchValue) Set(text string) error {
	parsed, err := strconv.ParseBool(text)
	*v = switchValue(parsed)
	return err
}
func (v *switchValue) String() string   { return strconv.FormatBool(bool(*v)) }
func (v *switchValue) IsBoolFlag() bool { return true }

type numberValue int

func (v *numberValue) Set(text string) error {
	parsed, err := strconv.Atoi(text)
	*v = numberValue(parsed)
	return err
}
func (v *numberValue) String() string { return strconv.Itoa(int(*v)) }

type fractionValue float64

func (v *fractionValue) Set(text string) error {
	parsed, err := strconv.ParseFloat(text, 64)
	*v = fractionValue(parsed)
	return err
}
func (v *fractionValue) String() string { return strconv.FormatFloat(float64(*v), 'g', -1, 64) }

type durationValue time.Duration

func (v *durationValue) Set(text string) error {
	parsed, err := time.ParseDuration(text)
	*v = durationValue(parsed)
	return err
}
func (v *durationValue) String() string { return time.Duration(*v).String() }

// listValue collects repeated flags, comma-separated text and YAML lists.
type listValue []string

func (v *listValue) Set(text string) error {
	for item := range strings.SplitSeq(text, ",") {
		if trimmed := strings.TrimSpace(item); trimmed != "" {
			*v = append(*v, trimmed)
		}
	}
	return nil
}
func (v *listValue) String() string { return strings.Join(*v, ",") }
