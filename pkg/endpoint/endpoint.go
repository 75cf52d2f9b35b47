package endpoint

import (
	"net/netip"

	"github.com/joomcode/errorx"
)

var namespace = errorx.NewNamespace("endpoint").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// ErrInvalid is the type of errors for texts that are no address to which a connection can be opened.
var ErrInvalid = namespace.NewType("invalid")

// longestShown is how much of a text an error shows, in bytes: no address is longer.
const longestShown = 64

// expectation says in errors what an address looks like.
const expectation = "an IP address and a port, such as 192.0.2.1:8080 or [2001:db8::1]:8080"

// Parse parses an address of another process. Host names are not looked up, and an address with a zone
// means something on one machine only: both are refused, as is whatever no connection can be opened to.
// The error is of type ErrInvalid, and shows the text and what was expected.
func Parse(text string) (netip.AddrPort, error) {
	parsed, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}, invalid(text, "it cannot be parsed")
	}
	address := parsed.Addr().Unmap()
	switch {
	case parsed.Port() == 0:
		return netip.AddrPort{}, invalid(text, "its port is 0")
	case address.Zone() != "":
		return netip.AddrPort{}, invalid(text, "it has a zone")
	case address.IsUnspecified():
		return netip.AddrPort{}, invalid(text, "it names no machine")
	case address.IsMulticast():
		return netip.AddrPort{}, invalid(text, "it names a group of machines")
	}
	return netip.AddrPortFrom(address, parsed.Port()), nil
}

func invalid(text, reason string) error {
	return ErrInvalid.New("%q is no address (%s), want %s", text[:min(len(text), longestShown)], reason, expectation)
}

// String returns the text of an address; empty for the zero value, which is no address. Parse reads it.
func String(address netip.AddrPort) string {
	if !address.IsValid() {
		return ""
	}
	return address.String()
}
