package pipeline

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// item is one request of a randomly drawn connection, with the expected answer.
type item struct {
	text, body string
	status     int
	// ends is set when this answer is the last of the connection.
	ends bool
}

func drawItem(t *rapid.T, connection int64, index int) item {
	path := fmt.Sprintf("/delay/%d/%d/%d", rapid.IntRange(0, 3).Draw(t, "delay"), connection, index)
	content := strings.Repeat(strconv.Itoa(index%10), rapid.SampledFrom([]int{1, 100, 5000, 70_000}).Draw(t, "size"))
	switch rapid.SampledFrom([]string{"get", "get", "get", "post", "chunks", "close", "bad"}).Draw(t, "kind") {
	case "post":
		return item{text: post(path, content), body: "POST " + path + " " + content, status: http.StatusOK}
	case "chunks":
		text := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", path, len(content), content)
		return item{text: text, body: "POST " + path + " " + content, status: http.StatusOK}
	case "close":
		text := "GET " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
		return item{text: text, body: "GET " + path + " ", status: http.StatusOK, ends: true}
	case "bad":
		return item{text: "GET " + path + " HTTP/1.1\r\nno colon\r\n\r\n", body: "Bad Request\n", status: http.StatusBadRequest, ends: true}
	default:
		return item{text: get(path), body: "GET " + path + " ", status: http.StatusOK}
	}
}

// handledCounts counts the requests that were handled, by connection. A handler of a
// connection that was broken off may begin while the next one is tested.
type handledCounts struct {
	mu     sync.Mutex
	counts map[string]int
}

func (h *handledCounts) add(connection string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.counts[connection]++
}

func (h *handledCounts) of(connection int64) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.counts[strconv.FormatInt(connection, 10)]
}

// delayedHandler answers after the delay that the path names, in milliseconds, so that
// handlers end in another order than they began.
func delayedHandler(begun *handledCounts) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		parts := strings.Split(r.URL.Path, "/")
		begun.add(parts[3])
		content, err := io.ReadAll(r.Body)
		if err != nil {
			w.WriteHeader(http.StatusRequestTimeout)
			return
		}
		delay, _ := strconv.Atoi(parts[2])
		time.Sleep(time.Duration(delay) * time.Millisecond)
		_, _ = fmt.Fprintf(w, "%s %s %s", r.Method, r.URL.Path, content)
	}
}

// expectedAnswers returns the answers that must come.
func expectedAnswers(items []item) []item {
	for index, each := range items {
		if each.ends {
			return items[:index+1]
		}
	}
	return items
}

// TestAnyConnection sends randomly drawn requests, split at any point and possibly broken
// off at any point, and compares the answers with the expected ones: they must be complete,
// in order, and followed by nothing.
func TestAnyConnection(t *testing.T) {
	begun := &handledCounts{counts: map[string]int{}}
	var connections int64
	s := startTestServer(t, func(cfg *Config) {
		cfg.MaxPipelined = 3
		cfg.Handler = delayedHandler(begun)
	})
	rapid.Check(t, func(rt *rapid.T) {
		connections++
		count := rapid.IntRange(1, 12).Draw(rt, "requests")
		items := make([]item, count)
		var text strings.Builder
		for index := range items {
			items[index] = drawItem(rt, connections, index)
			text.WriteString(items[index].text)
		}
		sent := text.String()
		brokenOff := rapid.Bool().Draw(rt, "broken off")
		if brokenOff {
			sent = sent[:rapid.IntRange(0, len(sent)).Draw(rt, "end")]
		}
		c := dial(t, s.address)
		defer func() { _ = c.Close() }()
		go sendInPieces(c, sent, rapid.IntRange(1, 9000).Draw(rt, "piece"), brokenOff)
		expected := expectedAnswers(items)
		for index, want := range expected {
			got, err := c.next()
			if err != nil && brokenOff {
				return
			}
			if err != nil || got.status != want.status || got.body != want.body {
				rt.Fatalf("answer %d: %d %.40q, %v; want %d %.40q", index, got.status, got.body, err, want.status, want.body)
			}
			if got.closing != want.ends {
				rt.Fatalf("answer %d: closing is %v", index, got.closing)
			}
		}
		if expected[len(expected)-1].ends {
			if got, err := c.next(); err == nil {
				rt.Fatalf("an answer follows the last: %+v", got)
			}
		}
		if ran := begun.of(connections); ran > len(expected) {
			rt.Fatalf("%d requests were handled, want at most %d", ran, len(expected))
		}
	})
}

func sendInPieces(c net.Conn, text string, size int, breakOff bool) {
	for len(text) > 0 {
		n := min(size, len(text))
		if _, err := io.WriteString(c, text[:n]); err != nil {
			return
		}
		text = text[n:]
	}
	if breakOff {
		_ = c.(*caller).Conn.(interface{ CloseWrite() error }).CloseWrite()
	}
}
