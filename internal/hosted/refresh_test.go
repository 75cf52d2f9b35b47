package hosted_test

import (
	"testing"
	"time"

	"github.com/levertide/levertide/internal/testwait"
	"github.com/levertide/levertide/pkg/workers"
)

// TestWorkerIsNotHiddenByAnOlderListOfWorkers guards against a ready worker that no node is told of, since
// the list without it was published last.
func TestWorkerIsNotHiddenByAnOlderListOfWorkers(t *testing.T) {
	const overtakingTime = 200 * time.Millisecond
	node := startNode(t, newStore(), "a1", "")
	testwait.Eventually(t, "the node is ready", node.agent.Ready)
	held, release := make(chan struct{}), make(chan struct{})
	hold := func(registered []workers.Worker) {
		if len(registered) == 1 {
			close(held)
			<-release
		}
	}
	node.onUpdate.Store(&hold)
	former, next := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(former)
		_ = node.agent.Heartbeat(t.Context(), heartbeat("former", 1, false))
	}()
	<-held
	go func() {
		defer close(next)
		_ = node.agent.Heartbeat(t.Context(), heartbeat("next", 1, false))
	}()
	select {
	case <-next:
	case <-time.After(overtakingTime):
	}
	close(release)
	<-former
	<-next
	for _, worker := range node.table.View().Self().Workers {
		if worker.Instance == "next" && worker.State == workers.StateReady {
			return
		}
	}
	t.Errorf("the record of the node names %+v", node.table.View().Self().Workers)
}
