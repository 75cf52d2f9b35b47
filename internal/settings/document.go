package settings

import (
	"fmt"
	"strings"
)

// MarkdownTable returns the table of settings that docs/SETTINGS.md shows.
func MarkdownTable() string {
	var table strings.Builder
	table.WriteString("| key | environment variable | default | allowed | what it does |\n")
	table.WriteString("|---|---|---|---|---|\n")
	for _, key := range Keys() {
		fmt.Fprintf(&table, "| `%s` | `%s` | %s | %s | %s |\n",
			key.Name, key.EnvironmentVariable(), quotedDefault(key), key.Allowed, key.Usage)
	}
	return table.String()
}

func quotedDefault(key Key) string {
	if key.Default == "" {
		return ""
	}
	return "`" + key.Default + "`"
}
