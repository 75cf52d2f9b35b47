package httpleg

import (
	"net/http"
	"net/textproto"
	"strings"
)

const closeValue = "close"

// CredentialHeaders are the headers by which callers say who they are: requests that differ
// in these are not the same one.
var CredentialHeaders = []string{"Authorization", "Cookie"}

// IsHopByHop reports whether a header with this canonical name belongs to
// one connection and does not go on to the next leg.
func IsHopByHop(name string) bool {
	switch name {
	case "Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Host":
		return true
	}
	return false
}

// RemoveListed removes the headers that the Connection headers of source name.
func RemoveListed(target, source http.Header) {
	for _, list := range source["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			name = textproto.TrimString(name)
			if name != "" && !strings.EqualFold(name, closeValue) {
				target.Del(name)
			}
		}
	}
}
