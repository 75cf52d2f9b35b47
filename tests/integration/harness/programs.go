package harness

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// programs is the directory of the binaries under test.
var programs string

// Main builds the programs once, runs the tests and returns the exit code.
func Main(m *testing.M) int {
	directory, err := os.MkdirTemp("", "levertide-integration-")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(directory)
	defer portClaim.Close()
	build := exec.Command("go", "build", "-o", directory+"/", "../../cmd/levertided", "../../cmd/levertide")
	if output, err := build.CombinedOutput(); err != nil {
		panic("build: " + string(output))
	}
	programs = directory
	return m.Run()
}

// Command is the result of one run of the operators' command line.
type Command struct {
	ExitCode int
	Output   string
}

// Levertide runs the operators' command line and waits for it to exit. An
// interrupted run has exit code -1.
func Levertide(ctx context.Context, arguments ...string) Command {
	command := exec.CommandContext(ctx, program("levertide"), arguments...)
	output, _ := command.CombinedOutput()
	return Command{ExitCode: command.ProcessState.ExitCode(), Output: string(output)}
}

// StoreAddress returns the address at which operators reach the store.
func (m *Mesh) StoreAddress() string { return m.storeAddress }

func program(name string) string { return filepath.Join(programs, name) }
