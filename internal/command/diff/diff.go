// Package diff implements "levertide diff": it shows how applying a file set would
// change the committed version.
package diff

import (
	"context"
	"flag"
	"fmt"
	"io"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/levertide/levertide/internal/command/changes"
	"github.com/levertide/levertide/internal/command/connect"
	"github.com/levertide/levertide/internal/command/console"
	"github.com/levertide/levertide/internal/command/exit"
	"github.com/levertide/levertide/internal/command/fileset"
	"github.com/levertide/levertide/pkg/manifest"
	"github.com/levertide/levertide/pkg/snapshot"
)

const (
	name           = "diff"
	defaultTimeout = 30 * time.Second
)

// Report is the answer of the command.
type Report struct {
	console.Outcome
	// Base is the committed version that the set was compared with; pass it to
	// "levertide apply --base".
	Base    uint64           `json:"base"`
	Faults  []manifest.Fault `json:"faults,omitempty"`
	Changes []changes.Change `json:"changes"`
}

// WriteText implements console.Report.
func (r Report) WriteText(out io.Writer) {
	fileset.WriteFaults(out, r.Faults)
	changes.Write(out, r.Changes)
}

type options struct {
	files   fileset.Flags
	store   connect.StoreFlags
	timeout time.Duration
}

// Command returns the command.
func Command(terminal *console.Console) *ffcli.Command {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	var chosen options
	chosen.files.Register(flags)
	chosen.store.Register(flags)
	flags.DurationVar(&chosen.timeout, "timeout", defaultTimeout, "`bound` on the whole command")
	terminal.RegisterFormat(flags)
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "levertide diff -f PATH [-f PATH ...] --store ADDRESS [-o text|json]",
		ShortHelp:  "show what applying a file set would change",
		LongHelp: "Compares the set with the committed version and names that version, to be passed to\n" +
			"\"levertide apply --base\". Secrets are shown only as added, changed or removed.",
		FlagSet: flags,
		Exec: func(ctx context.Context, arguments []string) error {
			check := func() error { return chosen.check(arguments) }
			return terminal.EmitWithin(ctx, chosen.timeout, check, chosen.run)
		},
	}
}

func (o *options) check(arguments []string) error {
	if err := o.files.Check(arguments); err != nil {
		return err
	}
	return o.store.Check()
}

func (o *options) run(ctx context.Context) console.Report {
	resources, faults := o.files.Read()
	if len(faults) > 0 {
		return Report{Outcome: console.Done(exit.Rejected, fileset.Summary(faults)), Faults: faults}
	}
	target, err := snapshot.New(0, resources)
	if err != nil {
		return Report{Outcome: console.Done(exit.Rejected, err.Error())}
	}
	return o.compare(ctx, target)
}

func (o *options) compare(ctx context.Context, target *snapshot.Snapshot) Report {
	versions, err := o.store.Open(ctx)
	if err != nil {
		return failed(err)
	}
	defer versions.Close()
	base, err := versions.Committed(ctx)
	if err != nil {
		return failed(err)
	}
	found := changes.Between(base, target)
	message := "nothing to change: the set is version " + fmt.Sprint(base.Version())
	if len(found) > 0 {
		message = fmt.Sprintf("%s, compared with version %d", changes.Summary(found), base.Version())
	}
	return Report{Outcome: console.Done(exit.Accepted, message), Base: base.Version(), Changes: found}
}

func failed(err error) Report {
	return Report{Outcome: console.Done(exit.CodeOfRead(err), err.Error()), Changes: []changes.Change{}}
}
