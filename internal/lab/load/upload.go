package load

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/levertide/levertide/internal/lab/worker"
)

// sampleEvery is how often memory is read while a body is on its way.
const sampleEvery = 50 * time.Millisecond

// measureUpload sends one body after another, each larger than the one before,
// through a gateway to the node of a worker.
func measureUpload(ctx context.Context, options Options) (*Upload, error) {
	options.Workers = 1
	config := worker.Config{Slots: options.Slots}
	m, err := startMesh(ctx, options, config, serviceShape{slots: options.Slots, queue: options.Slots})
	if err != nil {
		return nil, err
	}
	defer m.close()
	transport := newTransport()
	defer transport.CloseIdleConnections()
	result := &Upload{}
	for index, size := range options.UploadSizes {
		point := m.upload(ctx, transport, index, size)
		result.Points = append(result.Points, point)
		fmt.Fprintf(options.Progress, "upload of %d MB: whole %v in %.2f s, gateway %s, worker's node %s\n",
			size/megabyte, point.Complete, point.Seconds, showMegabytes(point.GatewayResident), showMegabytes(point.WorkerResident))
	}
	return result, nil
}

func (m *mesh) upload(ctx context.Context, transport *http.Transport, index int, size int64) UploadPoint {
	began := time.Now()
	ended := make(chan ending, 1)
	go func() {
		c := call{
			id:     fmt.Sprintf("upload%s%d", onceMark, index),
			method: http.MethodPost, host: onceHost, path: "/receipts",
			target: m.gateway.callerAddress(), size: size,
		}
		ended <- c.do(ctx, transport)
	}()
	gateway, beside := &peakReader{node: m.gateway}, &peakReader{node: m.members[0].node}
	ticker := time.NewTicker(sampleEvery)
	defer ticker.Stop()
	for {
		gateway.read()
		beside.read()
		select {
		case how := <-ended:
			return uploadPoint(size, began, how, gateway, beside)
		case <-ticker.C:
		}
	}
}

func uploadPoint(size int64, began time.Time, how ending, gateway, beside *peakReader) UploadPoint {
	return UploadPoint{
		Bytes:           size,
		Seconds:         time.Since(began).Seconds(),
		Complete:           how.kind == endingAnswered,
		GatewayResident: megabytes(gateway.resident, gateway.measured),
		GatewayPeak:     megabytes(gateway.peak, gateway.measured),
		WorkerResident:  megabytes(beside.resident, beside.measured),
		WorkerPeak:      megabytes(beside.peak, beside.measured),
	}
}

// peakReader keeps the highest memory that was read of a node.
type peakReader struct {
	node           node
	resident, peak uint64
	measured       bool
}

func (r *peakReader) read() {
	resident, peak, ok := r.node.memory()
	r.resident = max(r.resident, resident)
	r.peak = max(r.peak, peak)
	r.measured = r.measured || ok
}

// failures lists bodies that did not arrive whole.
func (u *Upload) failures() []string {
	var failures []string
	for _, point := range u.Points {
		if !point.Complete {
			failures = append(failures, fmt.Sprintf("upload of %d bytes was not answered", point.Bytes))
		}
	}
	return failures
}

func showMegabytes(value *float64) string {
	if value == nil {
		return "not measured"
	}
	return fmt.Sprintf("%.1f MB", *value)
}
