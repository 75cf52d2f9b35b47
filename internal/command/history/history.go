// Package history implements "levertide history": it lists the versions that
// the store keeps, or shows the outcome of one apply.
package history

import (
	"context"
	"flag"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/levertide/levertide/internal/command/connect"
	"github.com/levertide/levertide/internal/command/console"
	"github.com/levertide/levertide/internal/command/exit"
	"github.com/levertide/levertide/pkg/rollout"
	"github.com/levertide/levertide/pkg/versionstore"
)

const (
	name           = "history"
	defaultLimit   = 10
	defaultTimeout = 30 * time.Second
)

type options struct {
	store   connect.StoreFlags
	limit   int
	applyID string
	timeout time.Duration
}

// Command returns the command.
func Command(terminal *console.Console) *ffcli.Command {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	var chosen options
	chosen.store.Register(flags)
	flags.IntVar(&chosen.limit, "limit", defaultLimit, "`number` of versions to list")
	flags.StringVar(&chosen.applyID, "apply-id", "", "tell what became of the apply with this `identifier`")
	flags.DurationVar(&chosen.timeout, "timeout", defaultTimeout, "`bound` on the whole command")
	terminal.RegisterFormat(flags)
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "levertide history --store ADDRESS [--limit N | --apply-id ID] [-o text|json]",
		ShortHelp:  "list versions, or tell what became of one apply",
		LongHelp: "With --apply-id the exit code is 0 when the apply was committed, 1 when it was rejected or\n" +
			"never written, and 3 while it is being rolled out.",
		FlagSet: flags,
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
	if o.limit < 1 {
		return exit.UsageError("--limit must be at least 1")
	}
	return o.store.Check()
}

func (o *options) run(ctx context.Context) console.Report {
	versions, err := o.store.Open(ctx)
	if err != nil {
		return failed(err)
	}
	defer versions.Close()
	if o.applyID != "" {
		return resolve(ctx, versions, o.applyID)
	}
	return o.list(ctx, versions)
}

func failed(err error) console.Report {
	return console.Failed{Outcome: console.Done(exit.CodeOfRead(err), err.Error())}
}

// Report lists versions, newest first.
type Report struct {
	console.Outcome
	Versions []Version `json:"versions"`
}

// Version is one entry of the list.
type Version struct {
	Number    uint64    `json:"number"`
	State     State     `json:"state"`
	Operator  string    `json:"operator"`
	CreatedAt time.Time `json:"createdAt"`
	Base      uint64    `json:"base"`
	ApplyID   string    `json:"applyId"`
	Resources int       `json:"resources"`
	// RejectedBy and Reason are set for rejected versions.
	RejectedBy string `json:"rejectedBy,omitempty"`
	Reason     string `json:"reason,omitempty"`
}

// State is the state of a version.
type State string

// The states.
const (
	StateCommitted  State = "committed"
	StateSuperseded State = "superseded"
	StateProposed   State = "proposed"
	StateRejected   State = "rejected"
)

func (o *options) list(ctx context.Context, versions *connect.Store) console.Report {
	records, err := versions.ListVersions(ctx, o.limit)
	if err != nil {
		return failed(err)
	}
	head, _, err := versions.ReadHead(ctx, true)
	if err != nil {
		return failed(err)
	}
	report := Report{Versions: make([]Version, 0, len(records))}
	for _, record := range records {
		report.Versions = append(report.Versions, describe(record, head))
	}
	if len(records) == 0 {
		report.Outcome = console.Done(exit.Accepted, "no version has been applied yet")
		return report
	}
	report.Outcome = console.Done(exit.Accepted, "")
	return report
}

func describe(record versionstore.VersionRecord, head rollout.Head) Version {
	version := Version{
		Number:    record.Number,
		State:     stateOf(record, head),
		Operator:  record.Operator,
		CreatedAt: record.CreatedAt,
		Base:      record.Base,
		ApplyID:   record.ApplyID,
		Resources: len(record.Resources),
	}
	if record.Rejection != nil {
		version.RejectedBy, version.Reason = record.Rejection.Node, record.Rejection.Reason
	}
	return version
}

func stateOf(record versionstore.VersionRecord, head rollout.Head) State {
	switch {
	case record.Rejection != nil:
		return StateRejected
	case record.Number == head.Proposed || record.Number > head.HighestUsed:
		return StateProposed
	case record.Number == head.Committed:
		return StateCommitted
	default:
		return StateSuperseded
	}
}

// columnPadding is the number of spaces between the columns of the table.
const columnPadding = 2

// WriteText implements console.Report.
func (r Report) WriteText(out io.Writer) {
	if len(r.Versions) == 0 {
		return
	}
	table := tabwriter.NewWriter(out, 0, 0, columnPadding, ' ', 0)
	_, _ = fmt.Fprintln(table, "VERSION\tSTATE\tCREATED\tOPERATOR\tBASE\tRESOURCES\tAPPLY ID\tREASON")
	for _, version := range r.Versions {
		reason := version.Reason
		if version.RejectedBy != "" {
			reason = version.RejectedBy + ": " + reason
		}
		_, _ = fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%d\t%d\t%s\t%s\n", version.Number, version.State,
			version.CreatedAt.Local().Format(time.DateTime), version.Operator, version.Base, version.Resources, version.ApplyID, reason)
	}
	_ = table.Flush()
}
