// Levertide is the operators' command line: it checks file sets, applies them
// and shows the state of the mesh.
package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/levertide/levertide/internal/command/root"
)

// version is the program's version; the linker may set it.
var version string

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := root.Run(ctx, os.Args[1:], programVersion(), os.Stdout, os.Stderr)
	stop()
	os.Exit(int(code))
}

// programVersion returns the version that the linker set, or else the module version
// in the build information.
func programVersion() string {
	if version != "" {
		return version
	}
	if info, found := debug.ReadBuildInfo(); found {
		return info.Main.Version
	}
	return "unknown"
}
