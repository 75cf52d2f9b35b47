package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	// crowdDescriptors is the limit of descriptors of each machine that a crowd comes to: fewer than
	// its connections need.
	crowdDescriptors = 256
	// crowdStay is how long a client of the crowd stays at most.
	crowdStay = 2 * time.Second
	// crowdAnswers is how many requests one sends whose answers it does not read.
	crowdAnswers = 40
)

// crowd is clients that do not keep to the limits, on connections of their own.
type crowd struct {
	soak    *soak
	random  *rand.Rand
	members int
}

// run has the clients come and go until the context ends.
func (c *crowd) run(ctx context.Context) {
	var members sync.WaitGroup
	for member := range c.members {
		random := rand.New(rand.NewPCG(c.random.Uint64(), uint64(member)))
		members.Go(func() {
			for visit := 0; ctx.Err() == nil; visit++ {
				c.visit(ctx, random, fmt.Sprintf("crowd-%d-%d", member, visit))
			}
		})
	}
	members.Wait()
}

// visit opens a connection to a random machine, and leaves after some time.
func (c *crowd) visit(ctx context.Context, random *rand.Rand, id string) {
	m := c.soak.machines[random.IntN(len(c.soak.machines))]
	form, stay := random.IntN(len(crowdForms)), time.Duration(random.Int64N(int64(crowdStay)))
	conn, err := c.soak.options.Network.Callers().Dial(ctx, "tcp", m.callers)
	if err != nil {
		wait(ctx, callerPause)
		return
	}
	var sending sync.WaitGroup
	c.soak.ledger.recordCall(id, false)
	sending.Go(func() { crowdForms[form](conn, c.soak.ledger, id) })
	wait(ctx, stay)
	_ = conn.Close()
	sending.Wait()
}

// crowdForms are what a client of the crowd sends. Each ends when the connection does.
var crowdForms = []func(conn net.Conn, l *ledger, id string){
	func(net.Conn, *ledger, string) {},
	func(conn net.Conn, _ *ledger, id string) {
		_, _ = io.WriteString(conn, crowdHead("POST", oncePrefix, id, "Long: "+strings.Repeat("x", 40<<10)))
	},
	func(conn net.Conn, _ *ledger, id string) {
		_, _ = io.WriteString(conn, crowdHead("POST", oncePrefix, id, "Content-Length: 100000")+strings.Repeat("x", 99_999))
	},
	func(conn net.Conn, _ *ledger, id string) {
		chunk := fmt.Sprintf("%x\r\n%s\r\n", 8<<10, strings.Repeat("x", 8<<10))
		_, _ = io.WriteString(conn, crowdHead("POST", oncePrefix, id, "Transfer-Encoding: chunked")+strings.Repeat(chunk, 200)+"no chunk\r\n")
	},
	func(conn net.Conn, l *ledger, id string) {
		for n := range crowdAnswers {
			each := fmt.Sprintf("%s-%d", id, n)
			l.recordCall(each, true)
			if _, err := io.WriteString(conn, crowdHead("GET", safePrefix, each)); err != nil {
				return
			}
		}
	},
}

// crowdHead returns the head of a request with the key that its caller uses.
func crowdHead(method, prefix, id string, extra ...string) string {
	lines := append([]string{
		method + " " + prefix + id + " HTTP/1.1", "Host: " + hostName, dialect.RequestID + ": " + id,
		fmt.Sprintf("%s: %d", dialect.Timeout, callBound.Milliseconds()),
	}, extra...)
	if key := keyOf(prefix+id, id); key != "" {
		lines = append(lines, dialect.Key.Header+": "+dialect.Key.Scheme+" "+key)
	}
	return strings.Join(lines, "\r\n") + "\r\n\r\n"
}

// checkIntake checks that no node counts memory of clients that are gone.
func (s *soak) checkIntake() {
	for _, m := range s.machines {
		if !s.within(func() bool { return m.clientMemory() == 0 }) {
			s.ledger.fail("node %s counts %d bytes of clients that are gone", m.nodeID(), m.clientMemory())
		}
	}
}

// clientMemory returns how many bytes the machine's node holds for clients.
func (m *machine) clientMemory() int64 {
	m.mutex.Lock()
	node := m.node
	m.mutex.Unlock()
	var sum int64
	for _, reading := range node.Intake() {
		sum += reading.Memory
	}
	return sum
}
