package dataplane

import (
	"net/http"
	"net/textproto"
	"slices"
	"strings"

	"github.com/levertide/levertide/internal/httpconn"
)

// The headers between nodes.
const (
	// headerPrefix is the prefix of all headers that levertide defines.
	headerPrefix = "Levertide-"
	// routeHeader names the route that the caller's node chose.
	routeHeader = "Levertide-Route"
	// loadHeader carries the load of the worker's node in thousandths. Every
	// answer of a PeerHandler has it.
	loadHeader = "Levertide-Load"
	// drainingHeader is drainingMark when the worker's node is leaving.
	drainingHeader = "Levertide-Draining"
	// expectHeader is expectForward when the caller itself sent Expect.
	expectHeader = "Levertide-Expect"

	drainingMark  = "1"
	expectForward = "1"
	loadScale     = 1000

	expectContinue = "100-continue"
	connectionName = "Connection"
	closeValue     = "close"
	viaEntry       = "1.1 levertide"
)

// forwardable reports whether a header with this canonical name is forwarded:
// hop-by-hop headers and those with headerPrefix are not.
func forwardable(name string) bool {
	if httpconn.IsHopByHop(name) {
		return false
	}
	return !strings.HasPrefix(name, headerPrefix)
}

// copyForwardable copies the headers that are forwarded. The values are shared,
// not copied.
func copyForwardable(target, source http.Header) {
	for name, values := range source {
		if forwardable(name) {
			target[name] = values
		}
	}
	httpconn.RemoveListed(target, source)
}

// outgoingHeader returns the headers for forwarding a request, with capacity for
// those that are added to them.
func outgoingHeader(r *http.Request) http.Header {
	const added = 8
	header := make(http.Header, len(r.Header)+added)
	copyForwardable(header, r.Header)
	delete(header, "Content-Length")
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = nil // keeps the transport from adding its own
	}
	if via := header["Via"]; len(via) == 0 || via[len(via)-1] != viaEntry {
		header["Via"] = append(slices.Clip(via), viaEntry)
	}
	if acceptsTrailers(r.Header) {
		header["Te"] = []string{"trailers"}
	}
	return header
}

func acceptsTrailers(header http.Header) bool {
	for _, value := range header["Te"] {
		for coding := range strings.SplitSeq(value, ",") {
			if strings.EqualFold(textproto.TrimString(coding), "trailers") {
				return true
			}
		}
	}
	return false
}

// single returns the value of a header that may occur at most once; ok is false
// when it occurs more often.
func single(header http.Header, name string) (value string, present, ok bool) {
	values := header[name]
	switch len(values) {
	case 0:
		return "", false, true
	case 1:
		return values[0], true, true
	default:
		return "", true, false
	}
}
