package dataplane

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"testing"
	"time"
)

// smallAnswer is what the worker of the benchmarks answers with.
const smallAnswer = "a line of a ledger\n"

func answerSmall(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header()["Content-Type"] = []string{"text/plain"}
	_, _ = io.WriteString(w, smallAnswer)
}

func benchmarkCalls(b *testing.B, client *http.Client, url string) {
	b.ReportAllocs()
	for b.Loop() {
		request, err := http.NewRequest("GET", url, nil)
		if err != nil {
			b.Fatal(err)
		}
		request.Host = testHost
		response, err := client.Do(request)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
}

// BenchmarkDirect calls the worker without any node, as the baseline.
func BenchmarkDirect(b *testing.B) {
	m := newMesh(b)
	worker := httptest.NewServer(http.HandlerFunc(answerSmall))
	defer worker.Close()
	benchmarkCalls(b, m.client(), worker.URL+"/")
}

// BenchmarkOneNode is a call that the caller's node serves by its own worker.
func BenchmarkOneNode(b *testing.B) {
	m := newMesh(b)
	node := m.addHandler("a", answerSmall)
	benchmarkCalls(b, m.client(), node.callers.URL+"/")
}

// BenchmarkTwoNodes is a call through the caller's and the worker's node.
func BenchmarkTwoNodes(b *testing.B) {
	m := newMesh(b)
	m.addHandler("a", answerSmall)
	benchmarkCalls(b, m.client(), m.entry.callers.URL+"/")
}

// zeros is a body of a given length.
type zeros struct{ left int64 }

func (z *zeros) Read(p []byte) (int, error) {
	if z.left == 0 {
		return 0, io.EOF
	}
	n := min(int64(len(p)), z.left)
	z.left -= n
	return int(n), nil
}

// BenchmarkUpload shows that memory does not grow with the length of an upload:
// peak-B is the largest heap in use observed while uploads run.
func BenchmarkUpload(b *testing.B) {
	for _, megabytes := range []int64{1, 64, 1024} {
		b.Run(fmt.Sprintf("megabytes=%d", megabytes), func(b *testing.B) {
			m := newMesh(b)
			m.addHandler("a", answerSmall)
			client := m.client()
			length := megabytes << 20
			b.SetBytes(length)
			runtime.GC()
			stop, peak := make(chan struct{}), make(chan uint64)
			go watchHeap(stop, peak)
			for b.Loop() {
				request := m.request("POST", "/", &zeros{left: length})
				request.ContentLength = length
				response, err := client.Do(request)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
				if response.StatusCode != http.StatusOK {
					b.Fatal(response.Status)
				}
			}
			close(stop)
			b.ReportMetric(float64(<-peak), "peak-B")
		})
	}
}

// watchHeap reports the largest heap in use that it observed until stopped.
func watchHeap(stop <-chan struct{}, peak chan<- uint64) {
	const period = 5 * time.Millisecond
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	var most uint64
	var stats runtime.MemStats
	for {
		runtime.ReadMemStats(&stats)
		most = max(most, stats.HeapInuse)
		select {
		case <-ticker.C:
		case <-stop:
			peak <- most
			return
		}
	}
}
