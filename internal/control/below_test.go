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

// isBelow reports whether a node holds another one as below it.
func isBelow(node *Node, id string) bool {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	return node.children.below(id)
}

// TestFirstReportDropsWhoIsNotNamed lets a child lose a node between two
// attachments to the same parent. The parent used to hold that node as below it
// forever.
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
		t.Fatal("a later report without members dropped the nodes below the child")
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

// TestReportNamesNodesBelowNow checks the next report after one node attached below
// and detached again before the parent was informed, and another detached and
// attached again.
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
		t.Error("a node that has left again is reported as below")
	}
	if !node.stillBelow(back) || !node.stillBelow(node.self) {
		t.Error("a node that is below is not reported as below")
	}
	lost := gone
	lost.State = membership.StateLost
	if !node.stillBelow(lost) {
		t.Error("the loss of a node below is not reported as below")
	}
	if ids := node.notBelow([]string{"gone", "back"}); len(ids) != 1 || ids[0] != "gone" {
		t.Errorf("nodes reported as detached: got %v, want [gone]", ids)
	}
}

// TestNodesBelowAMovedChildDoNotOutlastIt lets a child move below another one that
// names only one of the two nodes below it. The other one used to be held as below
// forever.
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
		t.Error("a node that no child reports any more is still held as below")
	}
}
