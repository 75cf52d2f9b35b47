package harness

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// programs is the directory with the programs under test.
var programs string

// Main builds the programs once, runs the tests and returns the exit code.
func Main(m *testing.M) int {
	directory, err := os.MkdirTemp("", "levertide-integration-")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(directory)
	build := exec.Command("go", "build", "-o", directory+"/", "../../cmd/levertided")
	if output, err := build.CombinedOutput(); err != nil {
		panic("build: " + string(output))
	}
	programs = directory
	return m.Run()
}

func program(name string) string { return filepath.Join(programs, name) }
