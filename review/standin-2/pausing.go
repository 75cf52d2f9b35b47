package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Bounds of the case. The pages give the deadline and the sizes of the uploads of the deployment,
// the time that a stop may take and from when on a worker still at work is an excuse.
const (
	uploadDeadline = 3000 // ms, as the route's timeout
	uploadBytes    = 300_000
	uploads        = 8
	grace          = 6 * time.Second
	readFirst      = 64 << 10
	readPause      = 2400 * time.Millisecond
	finishing      = 50 * time.Millisecond
)

// uploadState is what the worker has seen of one upload.
type uploadState struct {
	began, broke, ended time.Time
	got                 int64
	err                 error
}

// pausing stops the machine of the clients as planned while workers are at work on uploads that
// they read in two parts.
func pausing(trouble bool) bool {
	m := newMesh("proofs", "assets", "assets")
	m.configure([]route{{"r-photo", "upload", "/photo/", "assets", uploadDeadline, 500}, {"r-proof", "safe", "/proof/", "proofs", 2500, 400}}, "proofs", "assets")
	m.startAll()
	var mu sync.Mutex
	states := map[string]*uploadState{}
	for i, n := range m.nodes {
		w := newWorker(n.service, fmt.Sprintf("i-%04d", i+1), n.at(portWorker), n.at(portAdmin))
		w.slots = 12
		w.early = func(c net.Conn, r *http.Request) (bool, bool) {
			if r.ContentLength < uploadBytes {
				return false, true
			}
			if expected := r.Header.Get(names["expect_instance"]); expected != "" && expected != w.instance {
				return false, true
			}
			id := r.Header.Get(names["request_id"])
			state := &uploadState{began: time.Now()}
			mu.Lock()
			states[id] = state
			mu.Unlock()
			note("worker %s has begun to work on %s", w.instance, id)
			got, err := io.CopyN(io.Discard, r.Body, readFirst)
			if trouble {
				time.Sleep(readPause)
			}
			if err == nil {
				var rest int64
				rest, err = io.Copy(io.Discard, r.Body)
				got += rest
			}
			mu.Lock()
			state.got, state.err = got, err
			if err != nil {
				state.broke = time.Now()
			}
			mu.Unlock()
			if err != nil {
				note("worker %s: the connection of %s has ended after %d of %d bytes: %v", w.instance, id, got, r.ContentLength, err)
				return true, false
			}
			time.Sleep(finishing)
			w.answer(c, r, 200, "", []byte("stored "+id))
			mu.Lock()
			state.ended = time.Now()
			mu.Unlock()
			return true, true
		}
		if err := w.start(); err != nil {
			fail("%v", err)
		}
	}
	time.Sleep(1500 * time.Millisecond)
	front := m.nodes[0]
	if r := send(front.at(portOutbound), request{Method: "POST", Host: host, Path: "/photo/first", TimeoutMS: uploadDeadline, Body: filler(4000)}); r.Status != 200 {
		fail("an upload before the stop gets %v", r)
	}
	time.Sleep(3500 * time.Millisecond) // calm for longer than the time of contact
	results := make([]result, uploads)
	var all sync.WaitGroup
	for i := range results {
		all.Go(func() {
			results[i] = send(front.at(portOutbound), request{Method: "POST", Host: host, Path: fmt.Sprintf("/photo/%d", i), TimeoutMS: uploadDeadline, Body: filler(uploadBytes)})
		})
	}
	time.Sleep(400 * time.Millisecond)
	note("SIGTERM to %s, the machine of the clients", front.id)
	stopped := time.Now()
	front.signal(syscall.SIGTERM)
	all.Wait()
	select {
	case <-front.exited:
		note("%s has ended %v after the SIGTERM", front.id, time.Since(stopped).Round(time.Millisecond))
	case <-time.After(grace):
		fail("the node outlasts its grace")
	}
	time.Sleep(200 * time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	lost := 0
	for _, r := range results {
		took := r.Answered.Sub(r.Sent).Round(time.Millisecond)
		state := states[r.ID]
		verdict := "answered"
		switch {
		case r.Status == 200 && r.Err == nil && string(r.Body) == "stored "+r.ID && r.Header.Get(names["server_stamp"]) != "":
		case state == nil:
			verdict = "refused or failed, and no worker had begun it: not counted"
		case r.Err == nil && (r.Status == 503 || r.Status == 429):
			verdict = "a refusal, not counted here"
		case took >= uploadDeadline*time.Millisecond:
			verdict = "the deadline was reached: not counted"
		case r.Answered.Before(stopped) || r.Answered.After(stopped.Add(grace*5/6)):
			verdict = "before the SIGTERM or in the last sixth of the grace: not counted"
		default:
			verdict = "LOST: broken off while its worker was at work on it"
			lost++
		}
		note("%s: the client gets %v after %v, %q: %s", r.ID, r, took, r.Body, verdict)
	}
	note("%d of %d uploads were lost after the SIGTERM", lost, uploads)
	return lost > 0
}
