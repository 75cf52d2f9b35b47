package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// run is one request that a worker has begun to work on.
type run struct {
	ID, Instance, Method, Target, Caller string
	Body                                 []byte
	At                                   time.Time
	Header                               http.Header
}

// worker is one application worker beside a node.
type worker struct {
	service, instance, address, admin string
	slots                             int
	work                              time.Duration
	born                              int64

	sequence atomic.Int64
	running  atomic.Int64
	state    atomic.Value // string
	beating  atomic.Bool
	// noWork has the worker refuse health checks, as one that leaves does.
	leaving atomic.Bool
	// stated has the worker say in its answers that it leaves.
	stated atomic.Bool

	// serve answers a request in place of the usual answer; false leaves that to the worker. The
	// connection is closed afterwards when keep is false.
	serve func(c net.Conn, r *http.Request, body []byte) (handled, keep bool)

	// early is called before the body is read; true means that it has answered.
	early func(c net.Conn, r *http.Request) (handled, keep bool)

	mu       sync.Mutex
	runs     []run
	listener net.Listener
	conns    map[net.Conn]struct{}
	stop     chan struct{}
}

func newWorker(service, instance, address, admin string) *worker {
	w := &worker{service: service, instance: instance, address: address, admin: admin, slots: 6, work: 20 * time.Millisecond,
		born: time.Now().UnixMilli(), conns: map[net.Conn]struct{}{}, stop: make(chan struct{})}
	w.state.Store("ready")
	w.beating.Store(true)
	return w
}

func (w *worker) start() error {
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.listener = listener
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			w.mu.Lock()
			w.conns[c] = struct{}{}
			w.mu.Unlock()
			go w.handle(c)
		}
	}()
	go w.beats()
	return nil
}

// crash ends the worker: its connections are reset and nothing listens any more.
func (w *worker) crash() {
	close(w.stop)
	_ = w.listener.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// heartbeat tells the node beside the worker of it, and returns the status of the answer.
func (w *worker) heartbeat() int {
	body := map[string]any{
		"address": w.address, "born": w.born,
		"info":   map[string]any{"service": w.service, "version": "v1", "zone": "z", "slots": w.slots},
		"status": map[string]any{"state": w.state.Load(), "sequence": w.sequence.Add(1), names["cold_remaining"]: 0},
	}
	return w.call(names["call_heartbeat"], body)
}

// leave signs the worker off.
func (w *worker) leave() int { return w.call(names["call_leave"], map[string]any{"born": w.born}) }

func (w *worker) call(name string, body any) int {
	encoded, _ := json.Marshal(body)
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Post("http://"+w.admin+names["rpc_path"]+"?call="+name+"&of="+w.instance, "application/json", bytes.NewReader(encoded))
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

func (w *worker) beats() {
	for {
		if w.beating.Load() {
			w.heartbeat()
		}
		select {
		case <-time.After(1500 * time.Millisecond):
		case <-w.stop:
			return
		}
	}
}

func (w *worker) load() string { return fmt.Sprintf("%d,0,%d", w.running.Load(), w.slots) }

// head writes the head and the body of an answer to a request.
func (w *worker) answer(c net.Conn, r *http.Request, status int, extra string, body []byte) {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	fmt.Fprintf(&b, "%s: %s\r\n%s: %s\r\n%s: %s\r\n", names["request_id"], r.Header.Get(names["request_id"]),
		names["server_stamp"], w.instance+"."+r.Header.Get(names["request_id"]), names["server_load"], w.load())
	if w.stated.Load() {
		fmt.Fprintf(&b, "%s: 1\r\n", names["server_leaving"])
	}
	fmt.Fprintf(&b, "%sContent-Length: %d\r\n\r\n", extra, len(body))
	_, _ = c.Write(append([]byte(b.String()), body...))
}

func (w *worker) handle(c net.Conn) {
	defer func() {
		_ = c.Close()
		w.mu.Lock()
		delete(w.conns, c)
		w.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if r.URL.Path == "/healthz" {
			status := 200
			if w.leaving.Load() {
				status = 503
			}
			fmt.Fprintf(c, "HTTP/1.1 %d X\r\n%s: %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", status, names["instance_id"], w.instance, names["server_load"], w.load())
			continue
		}
		if w.early != nil {
			if handled, keep := w.early(c, r); handled && !keep {
				return
			} else if handled {
				continue
			}
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if expected := r.Header.Get(names["expect_instance"]); expected != "" && expected != w.instance {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", names["instance_id"], w.instance, names["request_id"], r.Header.Get(names["request_id"]))
			continue
		}
		w.mu.Lock()
		w.runs = append(w.runs, run{r.Header.Get(names["request_id"]), w.instance, r.Method, r.RequestURI, r.Header.Get(names["caller_service"]), body, time.Now(), r.Header})
		w.mu.Unlock()
		w.running.Add(1)
		if w.serve != nil {
			if handled, keep := w.serve(c, r, body); handled {
				w.running.Add(-1)
				if !keep {
					return
				}
				continue
			}
		}
		time.Sleep(w.work)
		w.running.Add(-1)
		w.answer(c, r, 200, "", []byte("body of "+r.Header.Get(names["request_id"])))
	}
}

// ran returns the runs so far.
func (w *worker) ran() []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]run(nil), w.runs...)
}
