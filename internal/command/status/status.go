// Package status implements "levertide status": it shows the state of the mesh as
// the coordinator sees it.
package status

import (
	"context"
	"flag"
	"fmt"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/levertide/levertide/internal/command/connect"
	"github.com/levertide/levertide/internal/command/console"
	"github.com/levertide/levertide/internal/command/exit"
)

const (
	name           = "status"
	defaultTimeout = 15 * time.Second
)

type options struct {
	nodes   connect.NodeFlags
	timeout time.Duration
}

// Command returns the command.
func Command(terminal *console.Console) *ffcli.Command {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	var chosen options
	chosen.nodes.Register(flags)
	flags.DurationVar(&chosen.timeout, "timeout", defaultTimeout, "`bound` on the whole command")
	terminal.RegisterFormat(flags)
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "levertide status --node ADDRESS [-o text|json]",
		ShortHelp:  "show what is in force, who lags, and what is wrong",
		LongHelp:   "Asks any node, which passes the question on to the coordinator.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, arguments []string) error {
			check := func() error { return chosen.check(arguments) }
			return terminal.EmitWithin(ctx, chosen.timeout, check, chosen.run)
		},
	}
}

func (o *options) check(arguments []string) error {
	if len(arguments) > 0 {
		return exit.UsageError(fmt.Sprintf("unexpected argument %q", arguments[0]))
	}
	if !o.nodes.Given() {
		return exit.UsageError("name a node with --node")
	}
	return o.nodes.Check()
}

func (o *options) run(ctx context.Context) console.Report {
	nodes, err := o.nodes.Open()
	if err != nil {
		return console.Failed{Outcome: console.Done(exit.Usage, err.Error())}
	}
	defer nodes.Close()
	answer, err := nodes.Status(ctx)
	if err != nil {
		return console.Failed{Outcome: console.Done(exit.Unreachable, "no node answers: "+err.Error())}
	}
	return reportOf(answer)
}
