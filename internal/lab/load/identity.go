package load

import "strings"

// unrepeatableMark occurs in the identifier of every request that must not be repeated.
const unrepeatableMark = "-once-"

func isUnrepeatable(id string) bool { return strings.Contains(id, unrepeatableMark) }
