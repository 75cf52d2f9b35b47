package validation

import (
	"fmt"
	"net/url"
	"strings"

	"github.com/levertide/levertide/pkg/model"
)

// Limits of the DNS on the lengths of labels and host names, in bytes.
const (
	maximumLabelLength = 63
	maximumHostLength  = 253
)

const labelHint = "use at most 63 lower-case letters, digits and hyphens, with no hyphen at either end"

func (s subject) checkName(name string) {
	if !isLabel(name) {
		s.report("name", fmt.Sprintf("%q is not a valid name", name), labelHint)
	}
}

// isLabel reports whether the text is a DNS label in lower case.
func isLabel(text string) bool {
	if len(text) == 0 || len(text) > maximumLabelLength {
		return false
	}
	if text[0] == '-' || text[len(text)-1] == '-' {
		return false
	}
	for _, letter := range []byte(text) {
		if !isLabelByte(letter) {
			return false
		}
	}
	return true
}

func isLabelByte(letter byte) bool {
	return letter == '-' || (letter >= 'a' && letter <= 'z') || (letter >= '0' && letter <= '9')
}

func (s subject) checkHost(host string) {
	if host == model.AnyHost {
		return
	}
	name := strings.TrimPrefix(host, model.AnySubdomain)
	if len(name) <= maximumHostLength && allLabels(name) {
		return
	}
	hint := `write a host name, "*.suffix" or "*"`
	switch {
	case strings.Contains(host, ":"):
		hint = "leave the port and scheme out"
	case strings.ToLower(host) != host:
		hint = "write host names in lower case"
	}
	s.report("spec.match.host", fmt.Sprintf("%q is not a host", host), hint)
}

func allLabels(name string) bool {
	for label := range strings.SplitSeq(name, ".") {
		if !isLabel(label) {
			return false
		}
	}
	return true
}

// checkPath reports a path that cannot be the decoded path of a request that nodes
// accept. Nodes refuse paths that different programs may interpret differently: see
// the rules of internal/dataplane.
func (s subject) checkPath(field, path string) {
	if reason, hint := pathFault(path); reason != "" {
		s.report(field, fmt.Sprintf("%q can never match: %s", path, reason), hint)
	}
}

func pathFault(path string) (reason, hint string) {
	decoded, err := url.PathUnescape(path)
	switch {
	case !strings.HasPrefix(path, "/"):
		return `it does not start with "/"`, ""
	case err == nil && decoded != path:
		return "paths are compared in decoded form", fmt.Sprintf("write %q", decoded)
	case strings.ContainsAny(path, "?#"):
		return "a query or fragment takes no part in matching", ""
	case strings.ContainsFunc(path, isForbiddenPathRune):
		return "it holds a control character or a backslash", ""
	case strings.Contains(path, "//"):
		return "it has an empty segment", ""
	case hasDotSegment(path):
		return `it has a "." or ".." segment`, ""
	default:
		return "", ""
	}
}

func isForbiddenPathRune(letter rune) bool { return letter < ' ' || letter == 0x7f || letter == '\\' }

// hasDotSegment reports whether the path has a "." or ".." segment, not counting
// the parameters that follow a semicolon.
func hasDotSegment(path string) bool {
	for segment := range strings.SplitSeq(path, "/") {
		name, _, _ := strings.Cut(segment, ";")
		if name == "." || name == ".." {
			return true
		}
	}
	return false
}

func (s subject) checkPrefixEnd(prefix string) {
	if prefix != "/" && strings.HasSuffix(prefix, "/") {
		s.report("spec.match.pathPrefix", `a prefix does not end with "/"`, `a prefix takes the path itself and all paths below it: write `+strings.TrimRight(prefix, "/"))
	}
}

func (s subject) checkStartEnd(start string) {
	if !strings.HasSuffix(start, "/") {
		s.report("spec.match.pathStart", `a start ends with "/"`, "write "+start+"/")
	}
}

func (s subject) checkMethod(field, method string) {
	switch {
	case method == "CONNECT":
		s.report(field, "CONNECT cannot be routed", "")
	case !isToken(method):
		s.report(field, fmt.Sprintf("%q is not a method", method), "")
	case strings.ToUpper(method) != method:
		s.report(field, fmt.Sprintf("%q is not a method: methods are case-sensitive", method), "write "+strings.ToUpper(method))
	}
}

// reservedHeaderPrefix is the prefix, in lower case, of the headers that nodes use
// among themselves.
const reservedHeaderPrefix = "levertide-"

// refusedHeaders are the headers, in lower case, that apply to one connection or
// frame the message, and so cannot carry a credential.
var refusedHeaders = map[string]struct{}{
	"connection":          {},
	"content-length":      {},
	"expect":              {},
	"host":                {},
	"keep-alive":          {},
	"proxy-authenticate":  {},
	"proxy-authorization": {},
	"proxy-connection":    {},
	"te":                  {},
	"trailer":             {},
	"transfer-encoding":   {},
	"upgrade":             {},
}

func (s subject) checkHeader(field, header string) {
	name := strings.ToLower(header)
	_, refused := refusedHeaders[name]
	switch {
	case !isToken(header):
		s.report(field, fmt.Sprintf("%q is not a header name", header), "")
	case refused:
		s.report(field, fmt.Sprintf("%s belongs to one connection and cannot carry a credential", header), "use Authorization or a header of your own")
	case strings.HasPrefix(name, reservedHeaderPrefix):
		s.report(field, fmt.Sprintf("%s is reserved: nodes use headers that start with Levertide-", header), "")
	}
}

// checkHeaderValue reports a secret that no header can carry. Its reports never
// contain the value.
func (s subject) checkHeaderValue(field, value string) {
	if len(value) > s.checker.limits.MaxCredentialBytes {
		s.report(field, fmt.Sprintf("the secret is too long for a header, the limit is %d bytes", s.checker.limits.MaxCredentialBytes), "")
	}
	if !isHeaderValue(value) {
		s.report(field, "the secret holds a line end or control character, which no header can carry", `write the value after "|-" rather than "|" to leave out the last line end`)
		return
	}
	if strings.TrimSpace(value) != value {
		s.report(field, "the secret starts or ends with a space, which no header can carry", "")
	}
}

// tokenMarks are the bytes that an HTTP token may contain besides letters and digits.
const tokenMarks = "!#$%&'*+-.^_`|~"

// isToken reports whether the text can be a method or a header name.
func isToken(text string) bool {
	for _, letter := range []byte(strings.ToLower(text)) {
		if !isLabelByte(letter) && strings.IndexByte(tokenMarks, letter) < 0 {
			return false
		}
	}
	return text != ""
}

// isHeaderValue reports whether the text contains no control characters except tabs.
func isHeaderValue(text string) bool {
	for _, letter := range []byte(text) {
		if letter != '\t' && (letter < ' ' || letter == 0x7f) {
			return false
		}
	}
	return true
}
