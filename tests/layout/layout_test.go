package layout

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

const (
	root   = "../.."
	module = "github.com/levertide/levertide/"
)

// platformNames matches names that only the platform's documentation uses.
var platformNames = regexp.MustCompile(`kv-(txn|watch|range|key|keep|lease)|op/config|instances\.(heartbeat|deregister)|heartbeat_url|/api/readyz|` +
	`target_latency_ms|expected_revision|cold_remaining_ms|Server-(Limit|Leaving)|Levertide-(Server-Stamp|Server-Load|Not-Executed|Expect-Instance|Caller-Service|Request-Id|Timeout-Ms)|fleetbench|LEVERTIDE_BOOT`)

// sourceFiles calls a function for each Go file that is not a test.
func sourceFiles(t *testing.T, visit func(path string)) {
	t.Helper()
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		name := entry.Name()
		if entry.IsDir() && path != root && (strings.HasPrefix(name, ".") || name == "journal" || name == "target" || name == "bin") {
			return filepath.SkipDir
		}
		if strings.HasSuffix(name, ".go") && !strings.HasSuffix(name, "_test.go") {
			visit(path)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

// topFolder returns the first path element below the root.
func topFolder(path string) string {
	relative, err := filepath.Rel(root, path)
	if err != nil {
		return ""
	}
	top, _, _ := strings.Cut(filepath.ToSlash(relative), "/")
	return top
}

func TestOnlyTheAdapterKnowsThePlatformsNames(t *testing.T) {
	sourceFiles(t, func(path string) {
		if topFolder(path) == "platform" {
			return
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ParseComments)
		if err != nil {
			t.Fatal(err)
		}
		for _, group := range file.Comments {
			if found := platformNames.FindString(group.Text()); found != "" {
				t.Errorf("%s: a comment contains the platform name %q", path, found)
			}
		}
		for _, text := range stringsOf(file) {
			if found := platformNames.FindString(text); found != "" {
				t.Errorf("%s: a string contains the platform name %q", path, found)
			}
		}
	})
}

func TestImportsRunOneWay(t *testing.T) {
	rank := map[string]int{"pkg": 0, "internal": 1, "platform": 2, "cmd": 3}
	sourceFiles(t, func(path string) {
		own, ranked := rank[topFolder(path)]
		if !ranked {
			return
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			t.Fatal(err)
		}
		for _, imported := range file.Imports {
			name, _ := strconv.Unquote(imported.Path.Value)
			inner, ours := strings.CutPrefix(name, module)
			top, _, _ := strings.Cut(inner, "/")
			if ours && rank[top] > own {
				t.Errorf("%s must not import %s", path, name)
			}
		}
	})
}
