package load

import "strings"

// onceMark is part of the identifiers of requests that must not be repeated.
const onceMark = "-once-"

func isOnce(id string) bool { return strings.Contains(id, onceMark) }
