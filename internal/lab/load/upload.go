package load

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/levertide/levertide/internal/lab/worker"
)

// sampleInterval is the time between readings of memory while a body is being sent.
const sampleInterval = 50 * time.Millisecond

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
			size/megabyte, point.Complete, point.Seconds, formatMegabytes(point.GatewayResident), formatMegabytes(point.WorkerResident))
	}
	return result, nil
}

func (m *mesh) upload(ctx context.Context, transport *http.Transport, index int, size int64) UploadPoint {
	began := time.Now()
	ended := make(chan callResult, 1)
	go func() {
		c := call{
			id:     fmt.Sprintf("upload%s%d", unrepeatableMark, index),
			method: http.MethodPost, host: unrepeatableHost, path: "/receipts",
			target: m.gateway.callerAddress(), size: size,
		}
		ended <- c.do(ctx, transport)
	}()
	gateway, workerNode := &peakReader{node: m.gateway}, &peakReader{node: m.members[0].node}
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		gateway.read()
		workerNode.read()
		select {
		case result := <-ended:
			return uploadPoint(size, began, result, gateway, workerNode)
		case <-ticker.C:
		}
	}
}

func uploadPoint(size int64, began time.Time, result callResult, gateway, workerNode *peakReader) UploadPoint {
	return UploadPoint{
		Bytes:           size,
		Seconds:         time.Since(began).Seconds(),
		Complete:        result.kind == resultAnswered,
		GatewayResident: megabytes(gateway.resident, gateway.measured),
		GatewayPeak:     megabytes(gateway.peak, gateway.measured),
		WorkerResident:  megabytes(workerNode.resident, workerNode.measured),
		WorkerPeak:      megabytes(workerNode.peak, workerNode.measured),
	}
}

// peakReader holds the highest memory figures that were read from a node.
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

// failures lists the uploads that were not answered.
func (u *Upload) failures() []string {
	var failures []string
	for _, point := range u.Points {
		if !point.Complete {
			failures = append(failures, fmt.Sprintf("upload of %d bytes was not answered", point.Bytes))
		}
	}
	return failures
}

func formatMegabytes(value *float64) string {
	if value == nil {
		return "not measured"
	}
	return fmt.Sprintf("%.1f MB", *value)
}
