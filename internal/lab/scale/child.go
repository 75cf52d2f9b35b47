package scale

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/levertide/levertide/internal/lab/hollow"
	"github.com/levertide/levertide/internal/lab/process"
)

// replyBound is how long a process of hollow nodes may take to answer.
const replyBound = 2 * time.Minute

// child is one process of hollow nodes.
type child struct {
	process *process.Process
	mutex   sync.Mutex
	replies chan hollow.Reply
}

// startChild starts a process for the hollow nodes of one zone.
func startChild(group *process.Group, program, name string, events *eventSink) (*child, error) {
	started := &child{replies: make(chan hollow.Reply, 1)}
	running, err := group.Start(process.Options{
		Name:        "hollow " + name,
		Path:        program,
		Arguments:   []string{"hollow"},
		Input:       true,
		OnErrorLine: events.take,
		OnOutputLine: func(line []byte) {
			var reply hollow.Reply
			if err := json.Unmarshal(line, &reply); err != nil {
				reply = hollow.Reply{Error: err.Error()}
			}
			started.replies <- reply
		},
	})
	if err != nil {
		return nil, err
	}
	started.process = running
	return started, nil
}

// ask sends a request and waits for its reply. It fails with ErrHollow.
func (c *child) ask(request hollow.Request) (hollow.Reply, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if err := json.NewEncoder(c.process.Input()).Encode(request); err != nil {
		return hollow.Reply{}, ErrHollow.Wrap(err, "%s takes no request", c.process.Name())
	}
	timer := time.NewTimer(replyBound)
	defer timer.Stop()
	select {
	case reply := <-c.replies:
		if reply.Error != "" {
			return reply, ErrHollow.New("%s: %s", c.process.Name(), reply.Error)
		}
		return reply, nil
	case <-c.process.Done():
		return hollow.Reply{}, ErrHollow.New("%s has ended", c.process.Name())
	case <-timer.C:
		return hollow.Reply{}, ErrHollow.New("%s does not answer", c.process.Name())
	}
}
