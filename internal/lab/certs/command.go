// Package certs is the command that issues short-lived certificates for a mesh on
// one machine. The authority's key is never written to disk.
package certs

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/joomcode/errorx"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/levertide/levertide/internal/identity"
)

// ErrHolder reports that no holder is given, or one not as REGION/ZONE/ROLE/NODE.
var ErrHolder = errorx.NewNamespace("certs").NewType("holder")

const defaultValidity = 24 * time.Hour

// Command returns the subcommand "certs", which issues one certificate for each holder
// given as an argument and writes it to a directory named after the holder.
func Command() *ffcli.Command {
	flags := flag.NewFlagSet("certs", flag.ContinueOnError)
	directory := flags.String("directory", "certs", "where to write; one directory for each holder")
	validity := flags.Duration("validity", defaultValidity, "how long the certificates hold")
	return &ffcli.Command{
		Name:       "certs",
		ShortUsage: "levertide-lab certs [flags] REGION/ZONE/ROLE/NODE...",
		ShortHelp:  "make throw-away certificates; ROLE is node or operator",
		FlagSet:    flags,
		Exec: func(_ context.Context, arguments []string) error {
			return Write(os.Stdout, *directory, *validity, arguments)
		},
	}
}

// Write generates a new authority, issues a certificate for each holder and lists
// the directories written.
func Write(output io.Writer, directory string, validity time.Duration, holders []string) error {
	parsed, err := parseHolders(holders)
	if err != nil {
		return err
	}
	authority, err := identity.GenerateAuthority()
	if err != nil {
		return err
	}
	for _, holder := range parsed {
		bundle, err := authority.Issue(holder, validity)
		if err != nil {
			return err
		}
		target := filepath.Join(directory, string(holder.Role)+"-"+holder.Node)
		if _, err := bundle.Write(target); err != nil {
			return err
		}
		fmt.Fprintf(output, "%s  %s\n", target, holder)
	}
	return nil
}

func parseHolders(texts []string) ([]identity.Identity, error) {
	if len(texts) == 0 {
		return nil, ErrHolder.New("no holder is named; give REGION/ZONE/ROLE/NODE")
	}
	holders := make([]identity.Identity, 0, len(texts))
	for _, text := range texts {
		parts := strings.Split(text, "/")
		if len(parts) != 4 {
			return nil, ErrHolder.New("%q is not REGION/ZONE/ROLE/NODE", text)
		}
		holder := identity.Identity{Region: parts[0], Zone: parts[1], Role: identity.Role(parts[2]), Node: parts[3]}
		if err := holder.Check(); err != nil {
			return nil, err
		}
		holders = append(holders, holder)
	}
	return holders, nil
}
