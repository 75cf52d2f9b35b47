package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/levertide/levertide/pkg/workers"
)

const (
	serviceName       = "ledger"
	workerSlots       = 4
	heartbeatInterval = 100 * time.Millisecond
	// lateHeartbeats is how many heartbeat intervals a leaving worker keeps running after
	// the time in which requests may still arrive, and how many heartbeats of an ended
	// incarnation are sent late.
	lateHeartbeats = 10
	// incarnationsOfInstance is how many incarnations of a worker share the name of its instance.
	incarnationsOfInstance = 4
	// staleHeartbeatShare is the chance, at each heartbeat, that the one before it is sent again.
	staleHeartbeatShare = 0.1
)

// answerTo returns the complete answer to a request.
func answerTo(id string) string { return "answer to " + id }

// worker is one incarnation of a worker.
type worker struct {
	// incarnation identifies this worker. The next incarnation may have the same instance.
	incarnation workers.Incarnation
	runTime     time.Duration
	slowness    *slowness
	ledger      *ledger
	server      *http.Server
	address     string
	sequence    atomic.Uint64
	draining    atomic.Bool
	// heartbeatsPaused suppresses heartbeats.
	heartbeatsPaused atomic.Bool
	// crashed is set when the worker has crashed under a request, and reportCrash is called then.
	crashed     atomic.Bool
	reportCrash func()
	// machine is the machine on which the worker runs, client sends its nested calls.
	machine *machine
	client  *http.Client
	// runs counts the requests that the worker has begun to run.
	runs atomic.Uint64
	// limit is the limit that the worker names in its answers; nil when it names none.
	limit atomic.Pointer[workers.Limit]
	// leavingByAnswers has the worker state in its answers that it leaves.
	leavingByAnswers atomic.Bool
	// lostAnswerPercent is the percentage of answers that are lost after the run.
	lostAnswerPercent atomic.Uint32
	end               context.CancelFunc
	ended             sync.WaitGroup
}

// startWorker starts an incarnation of a machine's worker. It looks up the machine's
// node at each heartbeat, as the node may have been restarted.
func startWorker(incarnation workers.Incarnation, l *ledger, m *machine) (*worker, error) {
	opened, err := m.network.Listen(m.local)
	if err != nil {
		return nil, ErrStart.Wrap(err, "worker")
	}
	ctx, end := context.WithCancel(context.Background())
	w := &worker{incarnation: incarnation, runTime: m.runTime, slowness: newSlowness(), ledger: l, address: opened.Addr().String(), end: end, machine: m, client: newClient(m.network, callBound)}
	w.reportCrash = func() {
		if crashed := m.workerCrashed.Load(); crashed != nil {
			(*crashed)()
		}
	}
	w.server = &http.Server{Handler: w, ConnContext: rememberConn}
	w.ended.Go(func() { _ = w.server.Serve(opened) })
	w.ended.Go(func() { w.sendHeartbeats(ctx, m) })
	return w, nil
}

// ServeHTTP implements http.Handler: it runs a request.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if r.URL.Path == healthPath {
		w.answerProbe(out)
		return
	}
	id := r.Header.Get(dialect.RequestID)
	if expected := r.Header.Get(dialect.ExpectInstance); expected != w.incarnation.Instance {
		out.Header().Set(dialect.RequestID, id)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !isCrashing(r.URL.Path) && w.cutAnswer(out, r) {
		return
	}
	length, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if w.refuse(out, r) {
		return
	}
	w.runs.Add(1)
	w.ledger.recordRun(id, w.incarnation.String(), time.Now())
	w.ledger.checkBody(id, length)
	w.ledger.recordTimeLimit(id, r.Header.Get(dialect.Timeout), time.Now())
	w.checkTenant(r)
	if isCrashing(r.URL.Path) {
		w.runCrashing(r.URL.Path)
	}
	if !strings.HasSuffix(r.URL.Path, nestedSuffix) && rand.Float64() < nestedShare {
		w.callNested(r.Context(), w.machine, r)
	}
	time.Sleep(time.Duration(float64(w.runTime) * w.slowness.at(time.Now())))
	if w.answerOddly(out, id) {
		return
	}
	out.Header().Set(dialect.RequestID, id)
	w.slowness.report(out.Header(), time.Now())
	w.stateTerms(out.Header())
	if rand.Uint32N(100) < w.lostAnswerPercent.Load() {
		panic(http.ErrAbortHandler)
	}
	out.WriteHeader(w.statusOfRun(out))
	_, _ = io.WriteString(out, answerTo(id))
}

// answerProbe says who the worker is, unless it leaves.
func (w *worker) answerProbe(out http.ResponseWriter) {
	if w.draining.Load() || w.leavingByAnswers.Load() {
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	out.Header().Set(instanceHeader, w.incarnation.Instance)
}

// runCrashing crashes the worker crashDelay after it has begun a crashing request.
func (w *worker) runCrashing(path string) {
	w.ledger.recordCrashingRun(path, time.Now())
	time.Sleep(crashDelay)
	if w.crash() {
		w.ledger.recordCrash(path, time.Now())
		w.reportCrash()
	}
	panic(http.ErrAbortHandler)
}

// sendHeartbeats sends heartbeats to the node beside the worker, and from time to time
// repeats an old one.
func (w *worker) sendHeartbeats(ctx context.Context, m *machine) {
	for ctx.Err() == nil {
		if !w.heartbeatsPaused.Load() {
			w.send(ctx, m, w.sequence.Add(1), w.draining.Load())
		}
		if sequence := w.sequence.Load(); sequence > 1 && rand.Float64() < staleHeartbeatShare {
			w.send(ctx, m, sequence-1, false)
		}
		timer := time.NewTimer(heartbeatInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
}

func (w *worker) send(ctx context.Context, m *machine, sequence uint64, draining bool) {
	registrar := m.currentRegistrar()
	if registrar == nil {
		return
	}
	err := registrar.Heartbeat(ctx, workers.Heartbeat{
		Instance: w.incarnation.Instance, StartedAt: w.incarnation.StartedAt, Service: serviceName, Address: netip.MustParseAddrPort(w.address), Slots: workerSlots, Sequence: sequence, Draining: draining,
	})
	if err == nil && draining && m.currentRegistrar() == registrar {
		w.ledger.recordDrainCommitment(w.incarnation.String(), time.Now())
	}
}

// startLeaving has the worker say that it leaves, by its heartbeats or by a sign-off alone. It returns a
// function that ends the worker once no more requests should arrive.
func (w *worker) startLeaving(ctx context.Context, signOff bool) (end func(ctx context.Context)) {
	if signOff {
		w.heartbeatsPaused.Store(true)
		w.signOff(ctx, w.machine)
	} else {
		w.draining.Store(true)
	}
	return func(ctx context.Context) {
		wait(ctx, drainSlack+lateHeartbeats*heartbeatInterval)
		w.kill()
	}
}

// signOff has the worker sign off, until it is acknowledged or a few tries have failed.
func (w *worker) signOff(ctx context.Context, m *machine) {
	for range lateHeartbeats {
		registrar := m.currentRegistrar()
		if registrar != nil && registrar.Leave(ctx, w.incarnation) == nil && m.currentRegistrar() == registrar {
			w.ledger.recordDrainCommitment(w.incarnation.String(), time.Now())
			return
		}
		wait(ctx, heartbeatInterval)
	}
}

// leave drains the worker, and ends it once no more requests should arrive.
func (w *worker) leave(ctx context.Context) {
	w.draining.Store(true)
	select {
	case <-time.After(drainSlack + lateHeartbeats*heartbeatInterval):
	case <-ctx.Done():
	}
	w.kill()
}

// kill ends the worker without draining it or reporting its end.
func (w *worker) kill() {
	w.end()
	_ = w.server.Close()
	w.client.CloseIdleConnections()
	w.ended.Wait()
}

// instanceName returns the instance name of a worker's incarnation with the given number.
// Most start under the instance of the one before.
func instanceName(machine string, number int) string {
	return fmt.Sprintf("%s-%d", machine, number/incarnationsOfInstance)
}

// sendReadyHeartbeats sends ready heartbeats of an incarnation that has ended, as if they had been
// delayed, and so for a time.
func (w *worker) sendReadyHeartbeats(ctx context.Context, m *machine, d time.Duration) {
	first := w.sequence.Load()
	for n := range uint64(d / heartbeatInterval) {
		w.send(ctx, m, first+n, false)
		wait(ctx, heartbeatInterval)
	}
}

// sendLateHeartbeats sends heartbeats of an incarnation that has ended, as if they had
// been delayed.
func (w *worker) sendLateHeartbeats(ctx context.Context, m *machine) {
	for n := range uint64(lateHeartbeats) {
		w.send(ctx, m, w.sequence.Load()+n, n%2 == 0)
		wait(ctx, heartbeatInterval)
	}
}
