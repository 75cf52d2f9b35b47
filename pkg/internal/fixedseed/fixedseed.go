// Package fixedseed runs the tests of a package with a fixed rapid seed, so that
// property checks draw the same cases each time. Only tests import it.
package fixedseed

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// settings holds the values of rapid's flags. No fail files are written, because
// rapid prints each failure in full and a fixed seed reproduces it.
var settings = map[string]string{
	"rapid.seed":       "1",
	"rapid.nofailfile": "true",
}

// Main sets the flags, runs the tests and exits. Call it from the TestMain of a
// package that uses rapid.
func Main(m *testing.M) {
	flag.Parse()
	for name, value := range settings {
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
	}
	os.Exit(m.Run())
}
