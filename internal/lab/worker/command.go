package worker

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// Command returns the subcommand that runs one worker until it receives SIGTERM
// or an interrupt, upon which it drains before it exits. Once it listens it writes one
// line, "worker REQUESTS CONTROL" with the two addresses, to standard output.
func Command() *ffcli.Command {
	flags := flag.NewFlagSet("worker", flag.ContinueOnError)
	var config Config
	flags.StringVar(&config.ID, "id", "worker", "name of the worker")
	flags.StringVar(&config.Address, "listen", "", "host:port for requests")
	flags.StringVar(&config.ControlAddress, "control-listen", "", "host:port for the lab's control")
	flags.IntVar(&config.Slots, "slots", DefaultSlots, "requests run at once")
	flags.IntVar(&config.Queue, "queue", 0, "requests that may wait for a slot")
	flags.IntVar(&config.Connections, "connections", DefaultConnections, "connections accepted")
	flags.DurationVar(&config.Service.Median, "service-median", 0, "median time of a request")
	flags.Float64Var(&config.Service.Sigma, "service-sigma", 0, "spread of the time of a request")
	flags.DurationVar(&config.ColdStart, "cold-start", 0, "time of slowness after the start")
	flags.StringVar(&config.Next, "next", "", "base URL of the service called for each request")
	flags.StringVar(&config.NextHost, "next-host", "", "Host header of these calls")
	flags.BoolVar(&config.ForgetRecords, "forget-records", false, "keep no records of executions")
	flags.DurationVar(&config.DrainDelay, "drain-delay", DefaultDrainDelay, "time of refusing before the listener closes at a stop")
	drainBound := flags.Duration("drain-bound", DefaultDrainBound, "longest wait for requests at a stop")
	return &ffcli.Command{
		Name:       "worker",
		ShortUsage: "levertide-lab worker [flags]",
		ShortHelp:  "run one worker stand-in",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			return run(ctx, config, *drainBound, os.Stdout)
		},
	}
}

func run(ctx context.Context, config Config, drainBound time.Duration, output io.Writer) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	w, err := start(config, exitProcess)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(output, "worker %s %s\n", w.Address(), w.ControlAddress()); err != nil {
		return err
	}
	<-ctx.Done()
	bound, cancel := context.WithTimeout(context.Background(), drainBound)
	defer cancel()
	return w.Stop(bound)
}
