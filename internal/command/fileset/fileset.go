// Package fileset reads and validates the file set that a command line names.
package fileset

import (
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/levertide/levertide/internal/command/exit"
	"github.com/levertide/levertide/pkg/manifest"
	"github.com/levertide/levertide/pkg/model"
	"github.com/levertide/levertide/pkg/validation"
)

// Flags holds the paths named by -f.
type Flags struct{ paths pathList }

type pathList []string

// Set implements flag.Value; each use adds a path.
func (p *pathList) Set(path string) error {
	*p = append(*p, path)
	return nil
}

// String implements flag.Value.
func (p *pathList) String() string { return strings.Join(*p, ",") }

// Register adds the -f flag.
func (f *Flags) Register(flags *flag.FlagSet) {
	flags.Var(&f.paths, "f", "`path` of a directory or file of the set; may be repeated, and together they are one set")
}

// Check returns a usage error unless paths are named and nothing else is.
func (f *Flags) Check(arguments []string) error {
	if len(f.paths) == 0 {
		return exit.UsageError("name the file set with -f")
	}
	if len(arguments) > 0 {
		return exit.UsageError(fmt.Sprintf("unexpected argument %q: name paths with -f", arguments[0]))
	}
	return nil
}

// Read returns the resources of the set and all its faults.
func (f *Flags) Read() ([]model.Resource, []manifest.Fault) {
	set, faults := manifest.Load(f.paths...)
	faults = append(faults, validation.Validate(set, validation.DefaultLimits())...)
	manifest.SortFaults(faults)
	return set.Resources(), faults
}

// WriteFaults writes one line for each fault.
func WriteFaults(out io.Writer, faults []manifest.Fault) {
	for _, fault := range faults {
		_, _ = fmt.Fprintln(out, fault.Error())
	}
}

// Summary counts faults for a message.
func Summary(faults []manifest.Fault) string {
	if len(faults) == 1 {
		return "the set has 1 fault"
	}
	return fmt.Sprintf("the set has %d faults", len(faults))
}
