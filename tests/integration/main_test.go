package integration_test

import (
	"flag"
	"os"
	"testing"

	"github.com/levertide/levertide/tests/integration/harness"
)

// parallelTests limits how many meshes run at once, so that a usual machine can
// run the processes of all of them.
const parallelTests = "3"

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("test.parallel", parallelTests); err != nil {
		panic(err)
	}
	os.Exit(harness.Main(m))
}
