package telemetry

import (
	"io"
	"time"

	"github.com/phuslu/log"

	"github.com/levertide/levertide/pkg/contain"
)

// Log writes the events of one node. Its methods may be called from several
// goroutines; each event is one line.
type Log struct {
	logger *log.Logger
}

// NewLog returns a Log that writes events of at least the given level. The writer is called from several
// goroutines at once, as a file may be.
func NewLog(writer io.Writer, node string, level Level) *Log {
	return &Log{logger: &log.Logger{
		Level:      log.ParseLevel(string(level)),
		TimeFormat: "2006-01-02T15:04:05.000000Z07:00",
		Writer:     log.IOWriter{Writer: writer},
		Context:    log.NewContext(nil).Str("node", node).Value(),
	}}
}

func (l *Log) begin(event Event) *log.Entry {
	entry := l.logger.WithLevel(log.ParseLevel(string(event.Level)))
	return entry.Int("event", event.Number).Str("name", event.Name)
}

func end(entry *log.Entry) { entry.Msg("") }

// Started records the start of the process.
func (l *Log) Started(programVersion, region, zone, service string, incarnation uint64) {
	end(l.begin(eventStarted).Str("program_version", programVersion).Str("region", region).Str("zone", zone).
		Str("service", service).Uint64("incarnation", incarnation))
}

// Listening records the addresses of the four listeners.
func (l *Log) Listening(caller, call, control, admin string) {
	end(l.begin(eventListening).Str("caller_address", caller).Str("call_address", call).
		Str("control_address", control).Str("admin_address", admin))
}

// Ready records that the node accepts calls.
func (l *Log) Ready() { end(l.begin(eventReady)) }

// Unready records that the node does not accept calls, and why.
func (l *Log) Unready(reason string) { end(l.begin(eventUnready).Str(fieldReason, reason)) }

// StopRequested records the signal that began a planned stop.
func (l *Log) StopRequested(signal string) { end(l.begin(eventStopRequested).Str("signal", signal)) }

// Stopped records the end of the process.
func (l *Log) Stopped() { end(l.begin(eventStopped)) }

// PartFailed records that a supervised part ended and is started again.
func (l *Log) PartFailed(part, reason string) {
	end(l.begin(eventPartFailed).Str("part", part).Str(fieldError, bounded(reason)))
}

// StartFailed records why the process cannot start.
func (l *Log) StartFailed(err error) { end(l.begin(eventStartFailed).Str(fieldError, errorText(err))) }

// PanicContained records that a panic was kept to the work that has raised it, and how many calls are
// in flight.
func (l *Log) PanicContained(p contain.Panic, inFlight int64) {
	end(l.begin(eventPanicked).Str("kind", string(p.Kind)).Str("where", p.Where).Str(fieldError, p.Value).
		Str("stack", p.Stack).Bool("half_changed", p.HalfChanged).Int64(fieldCallsInFlight, inFlight))
}

// MemoryNearLimit records how much memory the process uses, in bytes, and what it holds.
func (l *Log) MemoryNearLimit(used, limit uint64, goroutines int, inFlight int64) {
	end(l.begin(eventMemoryFull).Uint64("used_bytes", used).Uint64("limit_bytes", limit).
		Int("goroutines", goroutines).Int64(fieldCallsInFlight, inFlight))
}

// WorkerHealth records that the worker's health endpoint changed its answer.
func (l *Log) WorkerHealth(healthy bool, reason string) {
	end(l.begin(eventWorkerHealth).Bool("healthy", healthy).Str(fieldReason, bounded(reason)))
}

// CertificatesLoaded records that certificate files were read.
func (l *Log) CertificatesLoaded(identity string, expires time.Time) {
	end(l.begin(eventCertificatesLoaded).Str("identity", identity).Str("expires", expires.UTC().Format(time.RFC3339)))
}

// CertificatesFailed records that changed certificate files cannot be used.
func (l *Log) CertificatesFailed(err error) {
	end(l.begin(eventCertificatesFailed).Str(fieldError, errorText(err)))
}
