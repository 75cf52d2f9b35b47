package forwarding

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/levertide/levertide/internal/testwait"
)

func TestAnswerOfAnotherRequestBelongsToNobody(t *testing.T) {
	front, _, worker := twoNodes(t)
	worker.answer(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Id", "of another")
		_, _ = w.Write([]byte("secret of another"))
	})
	if status, _, body := post(t, front, "/file/1", "vat"); status != http.StatusBadGateway || strings.Contains(body, "secret") {
		t.Errorf("%d %q", status, body)
	}
}

func TestSurplusAnswerIsNotGivenToTheNextRequest(t *testing.T) {
	front, _, worker := twoNodes(t)
	worker.answer(func(w http.ResponseWriter, r *http.Request) {
		conn := hijack(t, w)
		defer func() { _ = conn.Close() }()
		id := r.Header.Get("X-Id")
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 2\r\n\r\nok", id)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 7\r\n\r\nsurplus", id)
		_, _ = io.Copy(io.Discard, conn)
	})
	for call := range 10 {
		request := callerRequest(t, front, http.MethodGet, "/read/1", nil)
		request.Header.Set("X-Id", fmt.Sprintf("id-%d", call))
		if status, header, body := ask(t, request); status == http.StatusOK && (body != "ok" || header.Get("X-Id") != request.Header.Get("X-Id")) {
			t.Fatalf("call %d: %v %q", call, header, body)
		}
	}
}

func TestAnswerWithoutLength(t *testing.T) {
	front, _, worker := twoNodes(t)
	worker.answer(func(w http.ResponseWriter, r *http.Request) {
		conn := hijack(t, w)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\n\r\nuntil the end", r.Header.Get("X-Id"))
		_ = conn.Close()
	})
	if status, _, body := post(t, front, "/file/1", "vat"); status != http.StatusOK || body != "until the end" {
		t.Errorf("orderly end: %d %q", status, body)
	}
	worker.answer(func(w http.ResponseWriter, r *http.Request) {
		conn := hijack(t, w)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\n\r\nuntil", r.Header.Get("X-Id"))
		time.Sleep(20 * time.Millisecond)
		reset(conn)
	})
	if status, _, body := post(t, front, "/file/1", "vat"); status != http.StatusBadGateway {
		t.Errorf("reset: %d %q", status, body)
	}
}

func TestAnswerThatBreaksOffIsNotComplete(t *testing.T) {
	front, _, worker := twoNodes(t)
	for _, length := range []int{100, 2 * bufferedAnswer} {
		worker.answer(func(w http.ResponseWriter, r *http.Request) {
			conn := hijack(t, w)
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n", r.Header.Get("X-Id"), length)
			_, _ = conn.Write(make([]byte, length/2))
			_ = conn.Close()
		})
		client := &http.Client{Timeout: testTimeout}
		response, err := client.Do(callerRequest(t, front, http.MethodPost, "/file/1", strings.NewReader("vat")))
		if err != nil {
			continue
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK && err == nil {
			t.Errorf("%d of %d bytes looked like a complete answer", len(body), length)
		}
	}
}

func TestUploadArrivesWhole(t *testing.T) {
	front, back, worker := twoNodes(t)
	worker.answer(func(w http.ResponseWriter, r *http.Request) {
		sum := sha256.New()
		_, _ = io.Copy(sum, r.Body)
		_, _ = w.Write([]byte(hex.EncodeToString(sum.Sum(nil))))
	})
	for _, size := range []int{1, 60_000, bufferedBody, bufferedBody + 1, 3 * bufferedBody} {
		content := bytes.Repeat([]byte{byte(size), 7}, size/2+1)
		want := sha256.Sum256(content)
		for _, chunked := range []bool{false, true} {
			var body io.Reader = bytes.NewReader(content)
			if chunked {
				body = io.MultiReader(body)
			}
			status, _, got := ask(t, callerRequest(t, front, http.MethodPost, "/file/1", body))
			if status != http.StatusOK || got != hex.EncodeToString(want[:]) {
				t.Errorf("%d bytes, chunked %t: %d %s", size, chunked, status, got)
			}
		}
	}
	for _, node := range []*testNode{front, back} {
		testwait.Eventually(t, "the memory of bodies is given back", func() bool { return node.plane.callers.Read().Memory == 0 && node.plane.hopBodies.Read().Memory == 0 })
	}
	// The caller waits for 100-continue before it sends its body, so that no part of the body is
	// in transit when the answer arrives.
	tooLarge := callerRequest(t, front, http.MethodPost, "/file/1", bytes.NewReader(make([]byte, 8<<20+1)))
	tooLarge.Header.Set("Expect", "100-continue")
	if status, _, _ := ask(t, tooLarge); status != http.StatusRequestEntityTooLarge {
		t.Errorf("too large: %d", status)
	}
}

func TestEarlyAnswerToALongBody(t *testing.T) {
	front, _, worker := twoNodes(t)
	worker.answer(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusForbidden) })
	content := bytes.Repeat([]byte("pleading"), bufferedBody/8)
	if status, _, _ := ask(t, callerRequest(t, front, http.MethodPost, "/file/1", bytes.NewReader(content))); status != http.StatusForbidden {
		t.Errorf("status %d", status)
	}
	worker.answer(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(body)
	})
	if status, _, body := post(t, front, "/file/1", "next"); status != http.StatusOK || body != "next" {
		t.Errorf("the next request: %d %q", status, body)
	}
}
