package scale

import (
	"context"
	"fmt"
	"time"

	"github.com/levertide/levertide/internal/lab/hollow"
	"github.com/levertide/levertide/pkg/versionstore"
)

// change is one version that the lab applied.
type change struct {
	version uint64
	// began is when the apply began, and committed when the head said so.
	began     time.Time
	committed time.Time
}

// How the lab waits for a commit.
const (
	commitPoll  = 20 * time.Millisecond
	commitBound = 30 * time.Second
)

// applyNext makes and applies the next change and waits for its commit. It
// fails with ErrApply or with the store's error.
func (c *Cluster) applyNext(ctx context.Context) (change, error) {
	return c.apply(ctx, c.work.next())
}

// applyBase applies the base configuration.
func (c *Cluster) applyBase(ctx context.Context) (change, error) {
	return c.apply(ctx, difference{set: c.work.list()})
}

// apply proposes the configuration as it is after a difference.
func (c *Cluster) apply(ctx context.Context, changed difference) (change, error) {
	ctx, cancel := context.WithTimeout(ctx, commitBound)
	defer cancel()
	head, _, err := c.versions.ReadHead(ctx, true)
	if err != nil {
		return change{}, err
	}
	told := truth(head.HighestUsed+1, head.Committed, changed)
	if err := c.tellAll(hollow.Request{Truth: &told}); err != nil {
		return change{}, err
	}
	made := change{began: time.Now()}
	proposed, err := c.versions.Propose(ctx, versionstore.ProposeRequest{
		ApplyID:   fmt.Sprintf("scale-%d", told.Version),
		Operator:  labClient,
		Base:      head.Committed,
		Resources: c.work.list(),
	})
	if err != nil {
		return change{}, err
	}
	made.version = proposed.Version
	if made.committed, err = c.awaitCommit(ctx, made.version); err != nil {
		return made, err
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.committed = append(c.committed, made.version)
	return made, nil
}

// awaitCommit waits until a version is committed and returns when that was.
func (c *Cluster) awaitCommit(ctx context.Context, version uint64) (time.Time, error) {
	ticker := time.NewTicker(commitPoll)
	defer ticker.Stop()
	for {
		head, _, err := c.versions.ReadHead(ctx, true)
		switch {
		case err != nil:
			return time.Time{}, ErrApply.Wrap(err, "version %d", version)
		case head.Committed >= version:
			return head.ChangedAt, nil
		case head.Proposed != version:
			return time.Time{}, ErrApply.New("version %d was aborted: %+v", version, head.LastRejected)
		}
		select {
		case <-ctx.Done():
			return time.Time{}, ErrApply.Wrap(ctx.Err(), "version %d is not committed", version)
		case <-ticker.C:
		}
	}
}

// committedInStore adds the versions that the store says were committed, such
// as one whose commit the lab did not see in time.
func (c *Cluster) committedInStore(ctx context.Context) []uint64 {
	committed := c.committedVersions()
	head, _, err := c.versions.ReadHead(ctx, true)
	if err != nil {
		return committed
	}
	records, err := c.versions.ListVersions(ctx, -1)
	if err != nil {
		return committed
	}
	for _, record := range records {
		if record.Rejection == nil && record.Number <= head.Committed {
			committed = append(committed, record.Number)
		}
	}
	return committed
}

// committedVersions returns the versions that the lab saw committed.
func (c *Cluster) committedVersions() []uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return append([]uint64(nil), c.committed...)
}
