// Levertided is the node of the mesh, usually beside a worker: it forwards calls and
// runs the configuration agent.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"log"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/levertide/levertide/internal/daemon"
	"github.com/levertide/levertide/internal/settings"
	"github.com/levertide/levertide/internal/sidecar"
	"github.com/levertide/levertide/internal/telemetry"
	"github.com/levertide/levertide/platform"
)

// Exit codes; docs/SETTINGS.md lists them.
const (
	exitStopped  = 0
	exitFailed   = 1
	exitSettings = 2
)

// lastLines is how long the last lines of the log may take, which nobody may read any more.
const lastLines = 200 * time.Millisecond

func main() {
	// The first signals may come while the settings are read.
	reloads := outliveSignals()
	os.Exit(run(os.Args[1:], reloads))
}

// outliveSignals keeps signals that mean no stop from ending the process with what it holds: SIGPIPE,
// which comes when nobody reads the log any more, and SIGHUP, which asks for the settings to be read
// again and is received from the channel.
func outliveSignals() <-chan os.Signal {
	signal.Ignore(syscall.SIGPIPE)
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	return reloads
}

func run(arguments []string, reloads <-chan os.Signal) int {
	invocation, err := settings.Load(arguments, os.Stderr)
	switch {
	case errors.Is(err, flag.ErrHelp):
		return exitStopped
	case err != nil:
		printProblems(err)
		return exitSettings
	case invocation.Version:
		fmt.Println("levertided", daemon.Version)
		return exitStopped
	case invocation.Check:
		fmt.Println("settings are valid")
		return exitStopped
	}
	return serve(invocation, reloads)
}

func printProblems(err error) {
	fmt.Fprintln(os.Stderr, "levertided: settings cannot be used:")
	for _, problem := range settings.Problems(err) {
		fmt.Fprintln(os.Stderr, "  "+problem.String())
	}
}

func serve(invocation settings.Invocation, reloads <-chan os.Signal) int {
	// net/http writes errors of single connections to the standard logger, with bytes that others have
	// sent. They are not events of the node, and nothing may bypass the bounds on log lines.
	log.SetOutput(io.Discard)
	if invocation.Settings.Mode == settings.ModeHosted {
		return serveHosted(invocation.Settings, reloads)
	}
	return serveStandalone(invocation.Settings)
}

func serveStandalone(chosen settings.Settings) int {
	events := telemetry.NewLog(os.Stderr, chosen.NodeID, telemetry.Level(chosen.LogLevel))
	node, err := daemon.New(chosen, events)
	if err != nil {
		events.StartFailed(err)
		return exitFailed
	}
	return runUntilSignal(events, node.Run)
}

// serveHosted runs a node whose configuration comes from a platform.
func serveHosted(chosen settings.Settings, reloads <-chan os.Signal) int {
	if err := telemetry.KeepCrashes(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "levertided: a crash is shown on standard error only:", err)
	}
	lines := telemetry.NewQueue(os.Stdout)
	defer lines.FlushWithin(lastLines)
	events := telemetry.NewLog(lines, chosen.NodeID, telemetry.Level(chosen.LogLevel))
	node, err := sidecar.New(chosen, platform.Adapter(), sidecar.TCP{}, events, lines)
	if err != nil {
		events.StartFailed(err)
		return exitFailed
	}
	go reload(node, reloads)
	return runUntilSignal(events, node.Run)
}

// reload reads the settings again at each signal.
func reload(node *sidecar.Node, signals <-chan os.Signal) {
	for range signals {
		node.Reload(func() (settings.Settings, error) {
			invocation, err := settings.Load(os.Args[1:], io.Discard)
			return invocation.Settings, err
		})
	}
}

func runUntilSignal(events *telemetry.Log, run func(context.Context, func() string) error) int {
	stopping, signalName := notify()
	if err := run(stopping, signalName); err != nil {
		events.PartFailed("node", err.Error())
		return exitFailed
	}
	return exitStopped
}

// notify returns a context that ends at the first SIGTERM or SIGINT, and a function
// that returns the name of that signal. Later signals are ignored: the setting
// drain-bound limits how long the shutdown takes.
func notify() (context.Context, func() string) {
	received := make(chan os.Signal, 1)
	signal.Notify(received, syscall.SIGTERM, syscall.SIGINT)
	stopping, cancel := context.WithCancel(context.Background())
	name := make(chan string, 1)
	go func() {
		name <- (<-received).String()
		cancel()
	}()
	return stopping, func() string { return <-name }
}
