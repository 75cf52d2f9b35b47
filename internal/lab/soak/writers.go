package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/levertide/levertide/internal/sidecar"
	"github.com/levertide/levertide/pkg/workers"
)

const (
	// writersStream is the stream of random numbers of the writers of odd heartbeats.
	writersStream = 9
	// mostWriters bounds the writers beside a machine, and shortestWriterPause and longestWriterPause the pause between
	// two heartbeats of one.
	mostWriters         = 3
	shortestWriterPause = 20 * time.Millisecond
	longestWriterPause  = 500 * time.Millisecond
	// returns is how often all nodes are lost at once in the end, and returnBound the time by which each then serves
	// calls again.
	returns     = 2
	returnBound = 10 * time.Second
)

// writerAddresses are the addresses of other writers; H and P stand for the host and the port of the worker beside
// the node.
var writerAddresses = []string{
	"H:P", "H:", "H", "H :P", "[H:P", "http://H:P/", "H:http", "::1:P", "0.1:P", "127..1:P", "H:-1", "H:123456789012", "[::%réseau]:P",
	"", ":P", "H:P/path", " H:P", "localhost:P", "0x7f.1:P", "[H]:P", "H:P\x00", "H:99999", "H:0", "0.0.0.0:P", "[fe80::1%eth0]:P",
	"127.0.0.9:P", "[::1]:P", "H:1",
}

// writer sends the node of a machine heartbeats of an instance that there is not.
type writer struct {
	machine  *machine
	instance string
	address  string
	pause    time.Duration
}

// run sends heartbeats until the context ends, with the start time of the true worker.
func (w *writer) run(ctx context.Context) {
	for sequence := uint64(1); ctx.Err() == nil; sequence++ {
		if registrar := w.machine.currentRegistrar(); registrar != nil {
			w.send(ctx, registrar, sequence)
		}
		wait(ctx, w.pause)
	}
}

func (w *writer) send(ctx context.Context, registrar sidecar.Registrar, sequence uint64) {
	worker := w.machine.currentWorker()
	if worker == nil {
		return
	}
	_ = reportHeartbeat(ctx, registrar, workers.Heartbeat{
		Instance: w.instance, StartedAt: worker.incarnation.StartedAt, Service: serviceName, Slots: workerSlots, Sequence: sequence,
	}, w.address)
}

// drawWriters draws other writers beside some of the machines.
func (s *soak) drawWriters() []*writer {
	random := rand.New(rand.NewPCG(s.options.Seed, writersStream))
	var writers []*writer
	for _, m := range s.machines {
		for number := range random.IntN(mostWriters + 1) {
			writers = append(writers, &writer{
				machine: m, instance: fmt.Sprintf("writer-%d", number), address: addressLike(drawOne(random, writerAddresses), m.local),
				pause: shortestWriterPause + time.Duration(random.Int64N(int64(longestWriterPause-shortestWriterPause))),
			})
		}
	}
	return writers
}

// addressLike returns a form of an address with the host and the port of another.
func addressLike(form, address string) string {
	ip, port, _ := net.SplitHostPort(address)
	return strings.NewReplacer("H", ip, "P", port).Replace(form)
}

// besideWriters does work while other writers send heartbeats.
func (s *soak) besideWriters(ctx context.Context, work func()) {
	bounded, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	for _, w := range s.drawWriters() {
		s.options.Log("%s: another writer is %s at %q every %v", w.machine.id, w.instance, w.address, w.pause)
		running.Go(func() { w.run(bounded) })
	}
	work()
	cancel()
	running.Wait()
}

// checkReturns checks that each node serves calls again in time after all were lost at once.
func (s *soak) checkReturns(version uint64) {
	for range returns {
		s.options.Log("crash of all nodes")
		for _, m := range s.machines {
			m.endNode(false)
		}
		for _, m := range s.machines {
			if err := m.startNode(); err != nil {
				s.ledger.fail("%s does not start: %v", m.id, err)
				return
			}
		}
		end := time.Now().Add(returnBound)
		for _, m := range s.machines {
			for !s.serves(m, version) {
				if time.Now().After(end) {
					s.ledger.fail("%s does not serve version %d within %v of a crash of all nodes", m.id, version, returnBound)
					break
				}
				time.Sleep(settleInterval)
			}
		}
		for _, m := range s.machines {
			before := m.worker.runs.Load()
			if !s.within(func() bool { s.saturate(m, version); return m.worker.runs.Load() > before }) {
				s.ledger.fail("worker %s gets no request after a crash of all nodes", m.worker.incarnation)
			}
		}
	}
}
