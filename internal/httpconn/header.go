package httpconn

import (
	"net/http"
	"net/textproto"
	"strings"
)

const closeValue = "close"

// CredentialHeaders are the headers by which callers identify themselves: requests that
// differ in these are different requests.
var CredentialHeaders = []string{"Authorization", "Cookie"}

// IsHopByHop reports whether a header with this canonical name concerns one
// connection only and must not be forwarded.
func IsHopByHop(name string) bool {
	switch name {
	case "Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Host":
		return true
	}
	return false
}

// RemoveListed removes from target the headers that are listed in the Connection
// headers of source.
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
