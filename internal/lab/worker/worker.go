package worker

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"
)

const readHeaderBound = 10 * time.Second

// Worker is a running stand-in. Use Start.
type Worker struct {
	config  Config
	started time.Time
	gauge   gauge
	faults  faultSet
	records *recorder
	next    *nextCaller

	listener        net.Listener
	controlListener net.Listener
	server          *http.Server
	controlServer   *http.Server
	exiting         atomic.Bool
	exit            func()
}

// Start listens and serves until Close. It fails with ErrListen. Faults with
// Exit set close the worker's listeners and connections; see Command for a
// worker in a separate process.
func Start(config Config) (*Worker, error) {
	return start(config, nil)
}

// start is Start with a function that ends the process for faults with Exit set.
func start(config Config, exit func()) (*Worker, error) {
	config = config.withDefaults()
	w := &Worker{
		config:  config,
		started: time.Now(),
		gauge:   gauge{slots: config.Slots, queue: config.Queue},
		records: newRecorder(config.ForgetRecords),
		next:    newNextCaller(config),
		exit:    exit,
	}
	if exit == nil {
		w.exit = w.Close
	}
	if err := w.listen(); err != nil {
		return nil, err
	}
	w.serve()
	return w, nil
}

func (w *Worker) listen() error {
	listener, err := net.Listen("tcp", w.config.Address)
	if err != nil {
		return ErrListen.Wrap(err, "requests on %s", w.config.Address)
	}
	w.controlListener, err = net.Listen("tcp", w.config.ControlAddress)
	if err != nil {
		_ = listener.Close()
		return ErrListen.Wrap(err, "control on %s", w.config.ControlAddress)
	}
	w.listener = &boundedListener{
		Listener: listener,
		limit:    w.config.Connections,
		onClosed: func() { w.records.count(func(t *Totals) { t.ClosedConnections++ }) },
	}
	return nil
}

func (w *Worker) serve() {
	w.server = &http.Server{Handler: w.requestHandler(), ReadHeaderTimeout: readHeaderBound}
	w.controlServer = &http.Server{Handler: w.controlHandler(), ReadHeaderTimeout: readHeaderBound}
	go func() { _ = w.server.Serve(w.listener) }()
	go func() { _ = w.controlServer.Serve(w.controlListener) }()
}

// Address returns host:port for requests.
func (w *Worker) Address() string { return w.listener.Addr().String() }

// ControlAddress returns host:port for the lab's control.
func (w *Worker) ControlAddress() string { return w.controlListener.Addr().String() }

// SetFaults replaces the active faults.
func (w *Worker) SetFaults(faults ...Fault) { w.faults.set(faults) }

// SetNext replaces Config.Next and Config.NextHost.
func (w *Worker) SetNext(base, host string) { w.next.set(base, host) }

// SetReportingFault makes the health and load endpoints report stale or false values.
func (w *Worker) SetReportingFault(m ReportingFault) { w.gauge.setReportingFault(m) }

// Records returns a record for each request received, and totals.
func (w *Worker) Records() ([]Record, Totals) { return w.records.snapshot() }

// ResetRecords deletes all records and sets the totals to zero.
func (w *Worker) ResetRecords() { w.records.reset() }

// Drain makes the worker refuse further requests with the outcome not-run.
func (w *Worker) Drain() { w.gauge.drain() }

// Stop drains the worker, refuses requests for Config.DrainDelay and returns when
// no request runs any more, or when ctx ends.
func (w *Worker) Stop(ctx context.Context) error {
	w.Drain()
	select {
	case <-time.After(w.config.DrainDelay):
	case <-ctx.Done():
	}
	err := w.server.Shutdown(ctx)
	w.Close()
	return err
}

// Close ends the worker at once, as a crash does.
func (w *Worker) Close() {
	if w.exiting.Swap(true) {
		return
	}
	_ = w.server.Close()
	_ = w.controlServer.Close()
	w.next.close()
}

// die ends the connection of a request, or the whole worker.
func (w *Worker) die(fault Fault) {
	if fault.Exit {
		w.exit()
	}
	panic(http.ErrAbortHandler)
}

// exitProcess ends a worker that runs in a separate process.
func exitProcess() { os.Exit(1) }
