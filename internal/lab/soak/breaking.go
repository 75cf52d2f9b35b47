package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// breaking is how a worker breaks its answers, as shares of the requests that have run.
type breaking struct {
	// cut are answered without a length before their body is read, and their connection is reset amid
	// the answer. odd are answered with a head that is none.
	cut, odd float64
}

const (
	// breakingStream is the stream of random numbers by which workers are drawn.
	breakingStream = 9
	// brokenHeader is in each answer that must reach no caller as a whole one.
	brokenHeader = "X-Broken"
	// shortestBreaking and longestBreaking bound how long a worker breaks answers, breakingPause the
	// pause between two workers that begin to.
	shortestBreaking = 200 * time.Millisecond
	longestBreaking  = time.Second
	breakingPause    = time.Second
	// longBody is more than a connection holds of a body on its way, in bytes.
	longBody = 300 << 10
	// longestHold is how long a cut answer is held at most before its connection is reset.
	longestHold = 5 * time.Millisecond
)

// oddLines are lines of a head that is none: blanks in names and before the colon, and folded lines.
var oddLines = []string{
	"X Y: 1", "X-Y : 1", "Content-Type : text/plain", "X-Y: 1\r\n folded", "X-Y: 1\r\n\tfolded", "Set-Cookie\t: a=b", ": 1", " X-Y: 1",
}

// breakAnswers has random workers break answers until the context ends, with long uploads meanwhile.
func (f *faults) breakAnswers(ctx context.Context) {
	random := rand.New(rand.NewPCG(f.options.Seed, breakingStream))
	var running sync.WaitGroup
	defer running.Wait()
	for number := 0; ctx.Err() == nil; number++ {
		wait(ctx, time.Duration(random.Int64N(int64(breakingPause))))
		m, drawn := f.machines[random.IntN(len(f.machines))], &breaking{cut: 0.4 * random.Float64(), odd: 0.4 * random.Float64()}
		duration := shortestBreaking + time.Duration(random.Int64N(int64(longestBreaking-shortestBreaking)))
		bodies := rand.New(rand.NewPCG(random.Uint64(), 0))
		running.Go(func() {
			period, end := context.WithTimeout(ctx, duration)
			defer end()
			m.breaking.Store(drawn)
			defer m.breaking.CompareAndSwap(drawn, nil)
			f.upload(period, bodies, fmt.Sprint("upload-", number))
		})
	}
}

// upload sends long bodies to random machines until the context ends.
func (f *faults) upload(ctx context.Context, random *rand.Rand, name string) {
	client := newClient(f.options.Network.Callers(), 2*callBound)
	defer client.CloseIdleConnections()
	for number := 0; ctx.Err() == nil; number++ {
		id := fmt.Sprintf("%s-%d", name, number)
		q := message{method: http.MethodPost, id: id, path: oncePrefix + id, body: []byte(strings.Repeat("b", longBody+random.IntN(2*longBody)))}
		q.key = keyOf(q.path, q.id)
		f.ledger.recordCall(id, false)
		status, body, err := q.send(context.WithoutCancel(ctx), client, f.machines[random.IntN(len(f.machines))])
		if err != nil {
			status = 0
			time.Sleep(callerPause)
		}
		f.ledger.recordOutcome(id, status, body)
	}
}

// cutAnswer runs a request and cuts its answer off while the body is still on its way, if the worker does
// so at present. It reports whether it has. Where the body cannot be on its way in full, an ordinary end
// may come before the reset.
func (w *worker) cutAnswer(out http.ResponseWriter, r *http.Request) bool {
	now := w.machine.breaking.Load()
	if now == nil || rand.Float64() >= now.cut {
		return false
	}
	id := r.Header.Get(dialect.RequestID)
	w.runs.Add(1)
	w.ledger.recordRun(id, w.incarnation.String(), time.Now())
	conn, _, err := http.NewResponseController(out).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.writePart(conn, id)
	hold := func() { time.Sleep(time.Duration(rand.Int64N(int64(longestHold)))) }
	hold()
	if ending, ok := conn.(interface{ CloseWrite() error }); ok && r.ContentLength >= longBody && rand.IntN(2) == 0 {
		_ = ending.CloseWrite()
		hold()
	}
	resetConn(conn)
	return true
}

// writePart writes the head of an answer without a length, which states the worker's terms, and a part of
// its body.
func (w *worker) writePart(conn net.Conn, id string) {
	header := http.Header{}
	w.stateTerms(header)
	header.Set(dialect.RequestID, id)
	header.Set(brokenHeader, "cut")
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
	_ = header.Write(conn)
	answer := answerTo(id)
	_, _ = io.WriteString(conn, "\r\n"+answer[:rand.IntN(len(answer))])
}

// resetConn closes a connection so that the other side sees a reset.
func resetConn(conn net.Conn) {
	switch c := conn.(type) {
	case interface{ SetLinger(seconds int) error }:
		_ = c.SetLinger(0)
	case interface{ Reset() }:
		c.Reset()
	}
	_ = conn.Close()
}

// answerOddly answers a request that has run with a head that is none, if the worker does so at present.
// It reports whether it has.
func (w *worker) answerOddly(out http.ResponseWriter, id string) bool {
	now := w.machine.breaking.Load()
	if now == nil || rand.Float64() >= now.odd {
		return false
	}
	conn, _, err := http.NewResponseController(out).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = conn.Close() }()
	answer := answerTo(id)
	lines := fmt.Sprintf("%s: %s\r\n%s: odd\r\nContent-Length: %d\r\n%s\r\n", dialect.RequestID, id, brokenHeader, len(answer), oddLines[rand.IntN(len(oddLines))])
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+lines+"\r\n"+answer)
	return true
}

// checkBroken records a violation for a broken answer that a caller has got as a whole one.
func (l *ledger) checkBroken(id string, header http.Header) {
	if kind := header.Get(brokenHeader); kind != "" {
		l.fail("request %s got an answer that was %s as a whole one", id, kind)
	}
}
