package control

import (
	"context"
	"testing"

	"github.com/levertide/levertide/internal/controlpb"
	"github.com/levertide/levertide/pkg/membership"
)

func descendantRecord(id string) membership.Record {
	return membership.Record{ID: id, Incarnation: 1, Attachment: 1, Region: "nl", Zone: "a", ControlAddress: "127.0.0.1:1"}
}

// isBelow reads what a node holds of another one.
func isBelow(node *Node, id string) bool {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	return node.children.below(id)
}

// TestFirstReportDropsWhoIsNotNamed lets a child lose a node between two
// attachments to the same parent, which then once kept that node for ever.
func TestFirstReportDropsWhoIsNotNamed(t *testing.T) {
	t.Parallel()
	m := newMesh(t)
	node := m.start("a0", "a", "ledger")
	child := attachedChild(t, node)
	report := func(sequence uint64, below ...membership.Record) {
		request := reportOf(child, sequence, 1)
		request.Members, request.Below = memberMessages(below), uint32(len(below))
		answer, err := rpc{node}.Report(context.Background(), request)
		if err != nil || !answer.GetAttached() {
			t.Fatalf("answer %v, error %v", answer, err)
		}
	}
	report(1, child, descendantRecord("x"), descendantRecord("y"))
	report(2)
	if !isBelow(node, "x") || !isBelow(node, "y") {
		t.Fatal("a later report that names nobody dropped those below")
	}

	child.Attachment++
	request := &controlpb.WatchRequest{Self: memberMessage(child), Scope: &controlpb.Scope{All: true}}
	if _, err := (rpc{node}).Watch(context.Background(), request); err != nil {
		t.Fatal(err)
	}
	report(1, child, descendantRecord("y"))
	if isBelow(node, "x") {
		t.Error("a node that the first report leaves out is still held as below")
	}
	if !isBelow(node, "y") {
		t.Error("a node that the first report names was dropped")
	}
}

// TestReportNamesNodesBelowNow lets a node below come and go before the parent
// heard of it, and one go and come back.
func TestReportNamesNodesBelowNow(t *testing.T) {
	t.Parallel()
	m := newMesh(t)
	node := m.start("a0", "a", "ledger")
	node.mutex.Lock()
	defer node.mutex.Unlock()
	gone, back := descendantRecord("gone"), descendantRecord("back")
	node.reports.addMember(reportedMember{record: gone, below: true}, now())
	_, _ = node.children.addDescendants("child", []membership.Record{back})
	if node.stillBelow(gone) {
		t.Error("a node that has gone again is told of as below")
	}
	if !node.stillBelow(back) || !node.stillBelow(node.self) {
		t.Error("a node that is below is not told of as such")
	}
	lost := gone
	lost.State = membership.StateLost
	if !node.stillBelow(lost) {
		t.Error("the loss of a node below is not told of as such")
	}
	if ids := node.notBelow([]string{"gone", "back"}); len(ids) != 1 || ids[0] != "gone" {
		t.Errorf("told of as gone: %v", ids)
	}
}

// TestNodesBelowAMovedChildDoNotOutlastIt lets a child move below another one that
// names only one of the two nodes below it. The other was held as below for ever.
func TestNodesBelowAMovedChildDoNotOutlastIt(t *testing.T) {
	t.Parallel()
	m := newMesh(t)
	node := m.start("a0", "a", "ledger")
	child := attachedChild(t, node)
	other := child
	other.ID = "other"
	request := &controlpb.WatchRequest{Self: memberMessage(other), Scope: &controlpb.Scope{All: true}}
	if _, err := (rpc{node}).Watch(context.Background(), request); err != nil {
		t.Fatal(err)
	}
	report := func(from membership.Record, below ...membership.Record) {
		request := reportOf(from, 1, 1)
		request.Members, request.Below = memberMessages(below), uint32(len(below))
		answer, err := rpc{node}.Report(context.Background(), request)
		if err != nil || !answer.GetAttached() {
			t.Fatalf("answer %v, error %v", answer, err)
		}
	}
	report(child, child, descendantRecord("named"), descendantRecord("unnamed"))
	child.Attachment++
	report(other, other, child, descendantRecord("named"))
	if !isBelow(node, child.ID) || !isBelow(node, "named") {
		t.Error("nodes that were reported below the other child are not held as below")
	}
	if isBelow(node, "unnamed") {
		t.Error("a node that nobody reports any more is still held as below")
	}
}
