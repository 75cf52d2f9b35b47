// Levertide-lab runs experiments on levertide: the demo, load, soak
// and fuzz runs, and the stand-ins for the platform and the workers.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/levertide/levertide/internal/lab/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := command.Run(ctx, os.Args[1:], os.Stderr)
	stop()
	os.Exit(code)
}
