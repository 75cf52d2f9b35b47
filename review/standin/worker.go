package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"time"
)

// run is one request that a worker has begun to work on.
type run struct {
	at                                         time.Time
	id, service, instance, caller, path, query string
	method                                     string
}

// worker is a stand-in for an application worker: sound, one service, never full.
type worker struct {
	lab               *lab
	service, instance string
	zone              string
	address, admin    string
	born              int64
	sequence          atomic.Int64
	running           atomic.Int64
	server            *http.Server
	stop              chan struct{}
	stopOnce          sync.Once
}

const (
	workerSlots = 6
	beatEvery   = 1500 * time.Millisecond
	workTime    = 20 * time.Millisecond
)

// startWorker starts a worker and its heartbeats to the node beside it.
func (l *lab) startWorker(service, instance, zone string, m machine) (*worker, error) {
	listener, err := net.Listen("tcp", m.address("app"))
	if err != nil {
		return nil, err
	}
	w := &worker{lab: l, service: service, instance: instance, zone: zone, address: m.address("app"), admin: m.address("admin"), born: time.Now().UnixMilli(), stop: make(chan struct{})}
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve)}
	go func() { _ = w.server.Serve(listener) }()
	go w.beats()
	l.note("worker %s of %s starts at %s", instance, service, w.address)
	return w, nil
}

func (w *worker) beats() {
	for {
		w.send(w.beat(w.sequence.Add(1)))
		select {
		case <-time.After(beatEvery):
		case <-w.stop:
			return
		}
	}
}

// beat returns the body of a heartbeat.
func (w *worker) beat(sequence int64) []byte {
	body, _ := json.Marshal(map[string]any{
		"address": w.address, "born": w.born,
		"info":   map[string]any{"service": w.service, "version": "v1", "zone": w.zone, "slots": workerSlots},
		"status": map[string]any{"state": "ready", "sequence": sequence, names["cold"]: 0},
	})
	return body
}

// send sends a heartbeat and returns the status of the answer; zero when there was none.
func (w *worker) send(body []byte) int {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	target := "http://" + w.admin + names["rpc"] + "?call=" + names["beat"] + "&of=" + url.QueryEscape(w.instance)
	response, err := client.Post(target, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// crash ends the worker without a word.
func (w *worker) crash() {
	w.stopOnce.Do(func() { close(w.stop) })
	_ = w.server.Close()
	w.lab.note("worker %s of %s crashes", w.instance, w.service)
}

func (w *worker) serve(out http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(names["requestId"])
	out.Header().Set(names["load"], fmt.Sprintf("%d,0,%d", w.running.Load(), workerSlots))
	if id != "" {
		out.Header().Set(names["requestId"], id)
	}
	if r.URL.Path == healthPath {
		out.Header().Set(names["instance"], w.instance)
		return
	}
	if id == "" {
		out.Header().Set(names["notRun"], "1")
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	if wanted := r.Header.Get(names["expect"]); wanted != "" && wanted != w.instance {
		w.lab.note("  worker %s answers 421 to %s, meant for %s", w.instance, id, wanted)
		out.Header().Set(names["instance"], w.instance)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, _ := io.ReadAll(r.Body)
	did := run{at: time.Now(), id: id, service: w.service, instance: w.instance, caller: r.Header.Get(names["caller"]), method: r.Method, path: r.URL.EscapedPath(), query: r.URL.RawQuery}
	w.lab.ran(did)
	w.running.Add(1)
	time.Sleep(workTime)
	w.running.Add(-1)
	text := fmt.Sprintf("%s %s", id, w.instance)
	sum := sha256.Sum256(append(body, text...))
	out.Header().Set(names["stamp"], fmt.Sprintf("%s.%x", w.instance, sum[:6]))
	_, _ = io.WriteString(out, text)
}
