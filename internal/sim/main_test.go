package sim_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed and the size of the property tests.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "15", "rapid.steps": "25"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
