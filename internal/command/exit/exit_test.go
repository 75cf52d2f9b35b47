package exit_test

import (
	"context"
	"errors"
	"testing"

	"github.com/levertide/levertide/internal/command/exit"
	"github.com/levertide/levertide/pkg/store"
	"github.com/levertide/levertide/pkg/versionstore"
)

func TestCodesOfErrors(t *testing.T) {
	for _, test := range []struct {
		err   error
		write exit.Code
		read  exit.Code
	}{
		{nil, exit.Accepted, exit.Accepted},
		{versionstore.ErrConflict.New("x"), exit.Conflict, exit.Unreachable},
		{versionstore.ErrRolloutInProgress.New("x"), exit.Conflict, exit.Unreachable},
		{versionstore.ErrUnknownOutcome.New("x"), exit.Unknown, exit.Unreachable},
		{versionstore.ErrUnknownOutcome.Wrap(store.ErrUnreachable.New("x"), "y"), exit.Unknown, exit.Unreachable},
		{versionstore.ErrTooLarge.New("x"), exit.Rejected, exit.Rejected},
		{versionstore.ErrStoreRegressed.New("x"), exit.Rejected, exit.Rejected},
		{versionstore.ErrVersionNotFound.New("x"), exit.Unknown, exit.Rejected},
		{store.ErrUnreachable.New("x"), exit.Unreachable, exit.Unreachable},
		{store.RateLimited(0), exit.Unreachable, exit.Unreachable},
		{store.ErrUnknownOutcome.New("x"), exit.Unknown, exit.Unreachable},
		{store.ErrRefused.New("x"), exit.Rejected, exit.Rejected},
		{context.DeadlineExceeded, exit.Unknown, exit.Unreachable},
		{errors.New("anything else"), exit.Unknown, exit.Unreachable},
	} {
		if write, read := exit.CodeOfWrite(test.err), exit.CodeOfRead(test.err); write != test.write || read != test.read {
			t.Errorf("%v: got %s and %s, want %s and %s", test.err, write, read, test.write, test.read)
		}
	}
}
