package control

import (
	"context"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"github.com/levertide/levertide/pkg/contain"
)

// idleStep is the longest pause between two steps of the loop.
const idleStep = 10 * time.Second

// minimumStep is the shortest pause between two steps. It keeps the loop from
// spinning on a deadline that has just passed.
const minimumStep = time.Millisecond

// Serve runs the node until the context ends. It may be called once.
func (n *Node) Serve(ctx context.Context) error {
	if !n.started.CompareAndSwap(false, true) {
		return ErrConfig.New("the node was served before: Serve may be called only once")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n.mutex.Lock()
	n.serving = ctx
	n.mutex.Unlock()

	parts := contain.NewGroup(partName, n.config.Panicked)
	parts.Go(func() { n.runLoop(ctx) })
	parts.Go(func() {
		n.bootstrap(ctx)
		n.runUpstream(ctx)
	})
	parts.Go(func() { n.runFloor(ctx) })
	if n.versions != nil {
		parts.Go(func() { n.runReader(ctx) })
	}
	err := n.serveControl(ctx)
	cancel()
	parts.Wait()
	n.stopSpawning()
	n.background.Wait()
	n.clients.close()
	if ctx.Err() != nil && err == nil {
		return context.Cause(ctx)
	}
	return err
}

// runLoop performs a step at each deadline and whenever the node is kicked.
func (n *Node) runLoop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.loop:
		case <-timer.C:
		}
		at := now()
		next := n.step(ctx, at)
		timer.Reset(pauseUntil(next, at))
	}
}

func pauseUntil(next, at time.Time) time.Duration {
	if next.IsZero() {
		return idleStep
	}
	return min(max(next.Sub(at), minimumStep), idleStep)
}

// step performs everything that is due and returns the time of the next step.
func (n *Node) step(ctx context.Context, at time.Time) time.Time {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if !n.bootstrapped {
		return time.Time{}
	}
	next := n.plan.expireSuspicions(at)
	n.replan(at)
	next = sooner(next, n.plan.dueAt)
	next = sooner(next, n.expireChildren(at))
	next = sooner(next, n.expireOutsideTree(at))
	n.table.purge(at)
	n.publishDirectory(at)
	next = sooner(next, n.table.flushAt)
	next = sooner(next, n.coordinate(ctx, at))
	next = sooner(next, n.report(ctx, at))
	next = sooner(next, n.switchParent(at))
	if n.upstream.root {
		n.updateInForceSince()
	}
	n.updateRole()
	return next
}

// switchParent ends the current poll when it is time to move to a better parent.
func (n *Node) switchParent(at time.Time) time.Time {
	if n.plan.switchAt.IsZero() || at.Before(n.plan.switchAt) {
		return n.plan.switchAt
	}
	n.upstream.interrupt()
	return time.Time{}
}

// spawn runs a short call in the background. The caller holds the lock. After
// the node has stopped, spawn does nothing.
func (n *Node) spawn(call func()) {
	if n.stopped {
		return
	}
	n.background.Go(func() { contain.Run(contain.Task, partName, n.config.Panicked, call) })
}

func (n *Node) stopSpawning() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.stopped = true
}

// replacement stands for bytes that are not UTF-8.
const replacement = "\uFFFD"

// messageText returns the text of an error for a message to other nodes. A message with bytes that are
// not UTF-8, such as those of an answer of the store, could not be encoded at all.
func messageText(err error) string { return strings.ToValidUTF8(err.Error(), replacement) }

// errorText returns the message of an error without its type.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	if typed := errorx.Cast(err); typed != nil {
		return typed.Message()
	}
	return err.Error()
}
