// Package apply implements "levertide apply": it proposes a file set as the
// next version and reports whether it was applied, was not applied, or whether the
// outcome is not known yet.
package apply

import (
	"context"
	"flag"
	"fmt"
	"os/user"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/levertide/levertide/internal/command/connect"
	"github.com/levertide/levertide/internal/command/console"
	"github.com/levertide/levertide/internal/command/exit"
	"github.com/levertide/levertide/internal/command/fileset"
)

const (
	name           = "apply"
	defaultTimeout = time.Minute
	// latestBase is the value of --base when it is not given.
	latestBase = -1
)

// waitFor is the state that a version must have reached before the command ends.
type waitFor string

// The values of --wait.
const (
	waitCommitted waitFor = "committed"
	waitInForce   waitFor = "in-force"
)

type options struct {
	files        fileset.Flags
	store        connect.StoreFlags
	nodes        connect.NodeFlags
	base         int64
	operator     string
	applyID      string
	wait         string
	timeout      time.Duration
	afterRestore bool
}

const longHelp = `Proposes the set as the next version and waits until it is decided.

Give --base the version that "levertide diff" compared the set with: if another
version was committed since, nothing is written and what changed is shown. Without
--base the set replaces the version that is committed when the command starts, and
is refused all the same if that moves before the set is written.

The identifier of the apply is printed before anything is written. After exit code
3, "levertide history --apply-id ID" tells what became of it. Running apply again
with the same --apply-id never writes the set twice.`

func (o *options) register(flags *flag.FlagSet) {
	o.files.Register(flags)
	o.store.Register(flags)
	o.nodes.Register(flags)
	flags.Int64Var(&o.base, "base", latestBase, "`version` that the set is based on; -1 takes the committed one")
	flags.StringVar(&o.operator, "operator", currentUser(), "`name` recorded with the version")
	flags.StringVar(&o.applyID, "apply-id", "", "`identifier` of an earlier attempt at the same apply; made up when left out")
	flags.StringVar(&o.wait, "wait", string(waitCommitted), "`state` to wait for: committed, or in-force on every live node (needs --node)")
	flags.DurationVar(&o.timeout, "timeout", defaultTimeout, "`bound` on the whole command")
	flags.BoolVar(&o.afterRestore, "after-restore", false,
		"the platform's store was restored from an older copy: number the version after the newest head that the nodes named with --node hold")
}

func currentUser() string {
	account, err := user.Current()
	if err != nil {
		return ""
	}
	return account.Username
}

// Command returns the command.
func Command(terminal *console.Console) *ffcli.Command {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	var chosen options
	chosen.register(flags)
	terminal.RegisterFormat(flags)
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "levertide apply -f PATH [-f PATH ...] --store ADDRESS [--base VERSION] [flags]",
		ShortHelp:  "make a file set the next version",
		LongHelp:   longHelp,
		FlagSet:    flags,
		Exec: func(ctx context.Context, arguments []string) error {
			check := func() error { return chosen.check(arguments) }
			return terminal.EmitWithin(ctx, chosen.timeout, check, func(ctx context.Context) console.Report { return run(ctx, chosen, terminal) })
		},
	}
}

func (o *options) check(arguments []string) error {
	if err := o.files.Check(arguments); err != nil {
		return err
	}
	if err := o.store.Check(); err != nil {
		return err
	}
	if err := o.nodes.Check(); err != nil {
		return err
	}
	switch {
	case o.wait != string(waitCommitted) && o.wait != string(waitInForce):
		return exit.UsageError(fmt.Sprintf("--wait must be %s or %s", waitCommitted, waitInForce))
	case o.base < latestBase:
		return exit.UsageError("--base must be a version")
	case o.timeout <= 0:
		return exit.UsageError("--timeout must be above zero")
	case o.wait == string(waitInForce) && !o.nodes.Given():
		return exit.UsageError("--wait in-force needs --node")
	case o.afterRestore && !o.nodes.Given():
		return exit.UsageError("--after-restore needs --node: name a node of each zone")
	}
	return nil
}
