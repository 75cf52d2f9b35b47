package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/levertide/levertide/internal/forwarding"
)

// answering is how a worker answers beside the usual way, as shares of the requests.
type answering struct {
	// refused are refused before they run, with the mark. Of these, copied are refused
	// twice: the second copy comes in the place of the next answer on the connection.
	refused, copied float64
	// unmarked are run, and answered with a status that promises that they were not, without the
	// mark. contradicted are run, and answered with the mark and a status that does not go with it.
	unmarked, contradicted float64
}

const (
	// shortestAnswering and longestAnswering bound how long a worker answers in an unusual way.
	shortestAnswering = 200 * time.Millisecond
	longestAnswering  = 2 * time.Second
	// answeringPause is the longest pause between two workers that begin to.
	answeringPause = time.Second
)

// promisingStatuses are the statuses that callers take for a promise, but for 421, which a worker
// that has run a request must not answer.
var promisingStatuses = []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout}

// contradictingStatuses are statuses with which the mark of a refusal makes no sense.
var contradictingStatuses = []int{http.StatusFound, http.StatusInternalServerError, http.StatusBadGateway, http.StatusGatewayTimeout}

// drawAnswering draws how a worker answers.
func drawAnswering(random *rand.Rand) *answering {
	share := func(most float64) float64 { return most * random.Float64() }
	return &answering{refused: share(0.8), copied: share(1), unmarked: share(0.3), contradicted: share(0.2)}
}

// varyAnswers has random workers answer in unusual ways until the context ends.
func varyAnswers(ctx context.Context, seed uint64, machines []*machine) {
	random := rand.New(rand.NewPCG(seed, 2))
	var running sync.WaitGroup
	defer running.Wait()
	for ctx.Err() == nil {
		wait(ctx, time.Duration(random.Int64N(int64(answeringPause))))
		m, drawn := machines[random.IntN(len(machines))], drawAnswering(random)
		duration := shortestAnswering + time.Duration(random.Int64N(int64(longestAnswering-shortestAnswering)))
		running.Go(func() {
			m.answering.Store(drawn)
			wait(ctx, duration)
			m.answering.CompareAndSwap(drawn, nil)
		})
	}
}

// connKey is the key under which the context of a request holds its connection.
type connKey struct{}

// rememberConn keeps the connection of a worker's requests in their contexts.
func rememberConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, &workerConn{Conn: conn})
}

// workerConn is a connection to a worker.
type workerConn struct {
	net.Conn

	mu sync.Mutex
	// copied is the second copy of a refusal, that has not been written yet.
	copied string
}

// writeCopy writes the second copy of a refusal, if there is one. It must be called before the
// answer to the request that came on the connection.
func (c *workerConn) writeCopy() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.copied != "" {
		_, _ = c.Write([]byte(c.copied))
		c.copied = ""
	}
}

// refuse refuses a request before it runs if the worker does so at present. It reports whether it
// has.
func (w *worker) refuse(out http.ResponseWriter, r *http.Request) bool {
	conn, _ := r.Context().Value(connKey{}).(*workerConn)
	conn.writeCopy()
	now := w.machine.answering.Load()
	if now == nil || rand.Float64() >= now.refused {
		return false
	}
	id := r.Header.Get(dialect.RequestID)
	status := []int{http.StatusServiceUnavailable, http.StatusTooManyRequests}[rand.IntN(2)]
	out.Header().Set(dialect.RequestID, id)
	out.Header().Set(dialect.NotRun, "1")
	if rand.Float64() < now.copied {
		conn.mu.Lock()
		conn.copied = fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status), dialect.RequestID, id, dialect.NotRun)
		conn.mu.Unlock()
	}
	out.WriteHeader(status)
	return true
}

// statusOfRun returns the status with which the worker answers a request that it has run, and sets
// the mark of a refusal if it contradicts itself.
func (w *worker) statusOfRun(out http.ResponseWriter) int {
	now := w.machine.answering.Load()
	if now == nil {
		return http.StatusOK
	}
	switch drawn := rand.Float64(); {
	case drawn < now.unmarked:
		return promisingStatuses[rand.IntN(len(promisingStatuses))]
	case drawn < now.unmarked+now.contradicted:
		out.Header().Set(dialect.NotRun, "1")
		return contradictingStatuses[rand.IntN(len(contradictingStatuses))]
	}
	return http.StatusOK
}

// promised reports whether an outcome is the promise that a request has not run. The answer of a
// worker to a repeatable request is passed on as it is, and promises nothing.
func promised(status int, body, id string, repeatable bool) bool {
	return forwarding.PromisesNotRun(status) && !(repeatable && body == answerTo(id))
}
