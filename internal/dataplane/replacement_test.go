package dataplane

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/levertide/levertide/pkg/membership"
)

// executions counts how often each request ran.
type executions struct {
	mutex sync.Mutex
	runs  map[string]int
}

func (e *executions) handle(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	e.mutex.Lock()
	e.runs[string(body)]++
	e.mutex.Unlock()
	_, _ = w.Write(body)
}

// leave marks a node as leaving in the directory.
func (m *mesh) leave(id string) {
	record, _ := m.table.Get(id)
	record.State = membership.StateLeaving
	m.table.Merge(record)
	m.directory.Store(m.table.View())
}

// stop takes a node out of service as a planned stop does.
func (n *testNode) stop(t *testing.T) {
	if report := n.plane.Drain(context.Background()); !report.Clean() {
		t.Errorf("drain ended with %+v", report)
	}
	if err := n.peers.Config.Shutdown(context.Background()); err != nil {
		t.Errorf("shutdown: %v", err)
	}
}

func TestWorkersReplacedOneAfterAnother(t *testing.T) {
	for _, lagging := range []bool{false, true} {
		t.Run(fmt.Sprintf("lagging=%t", lagging), func(t *testing.T) { replaceWorkers(t, lagging) })
	}
}

// replaceWorkers stops each node under load after having started another. With
// a lagging directory the callers' node learns of it only from the answers.
func replaceWorkers(t *testing.T, lagging bool) {
	const workers, callers = 3, 4
	m := newMesh(t)
	ran := executions{runs: map[string]int{}}
	nodes := make([]*testNode, workers)
	for i := range workers {
		nodes[i] = m.addHandler(fmt.Sprintf("old-%d", i), ran.handle)
	}
	client := m.client()
	var stopped atomic.Bool
	var group sync.WaitGroup
	for caller := range callers {
		group.Go(func() {
			for i := 0; !stopped.Load(); i++ {
				id := fmt.Sprintf("%d-%d", caller, i)
				if err := postOnce(client, m.request("POST", "/never", strings.NewReader(id)), id); err != nil {
					t.Error(err)
					return
				}
			}
		})
	}
	for i, node := range nodes {
		m.addHandler(fmt.Sprintf("new-%d", i), ran.handle)
		if !lagging {
			m.leave(fmt.Sprintf("old-%d", i))
		}
		node.stop(t)
		if lagging {
			m.leave(fmt.Sprintf("old-%d", i))
		}
	}
	stopped.Store(true)
	group.Wait()
	for id, runs := range ran.runs {
		if runs != 1 {
			t.Errorf("request %s ran %d times", id, runs)
		}
	}
	if len(ran.runs) == 0 {
		t.Error("nothing ran")
	}
}

// postOnce makes one call and checks that the answer is the one to it.
func postOnce(client *http.Client, request *http.Request, want string) error {
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK || string(body) != want {
		return fmt.Errorf("request %s got %s %v %q", want, response.Status, response.Header, body)
	}
	return nil
}
