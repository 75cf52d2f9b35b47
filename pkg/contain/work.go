package contain

import (
	"context"
	"fmt"
	"net/http"
	"sync"

	"github.com/joomcode/errorx"
)

var namespace = errorx.NewNamespace("contain").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// ErrPanic is the type of errors for inputs whose reading has panicked.
var ErrPanic = namespace.NewType("panic")

// Run does work and contains its panic. It reports false when there was one.
func Run(kind Kind, where string, report Report, work func()) (done bool) {
	defer func() {
		// Without a value the goroutine ends by runtime.Goexit.
		if value := recover(); value != nil {
			reportTo(report, newPanic(kind, where, value))
		}
	}()
	work()
	return true
}

func reportTo(report Report, p Panic) {
	if report != nil {
		report(p)
	}
}

// Read reads one input. When that panics, nothing of the input must have been taken; the error is
// then an ErrPanic.
func Read(where string, report Report, read func() error) (err error) {
	defer func() {
		if value := recover(); value != nil {
			p := newPanic(Input, where, value)
			reportTo(report, p)
			err = ErrPanic.New("%s", p.Value)
		}
	}()
	return read()
}

// Group waits for goroutines whose panics are contained. Use NewGroup.
type Group struct {
	where   string
	report  Report
	waiting sync.WaitGroup
}

// NewGroup returns a group of goroutines that work in the background of a part.
func NewGroup(where string, report Report) *Group { return &Group{where: where, report: report} }

// Go does work on a goroutine of its own.
func (g *Group) Go(work func()) {
	g.waiting.Go(func() { Run(Task, g.where, g.report, work) })
}

// Wait waits for all of the work.
func (g *Group) Wait() { g.waiting.Wait() }

// Handler returns a handler whose panics are reported, and end the connection only. One with
// http.ErrAbortHandler is no fault.
func Handler(where string, report Report, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			value := recover()
			if value == nil {
				return
			}
			if value != http.ErrAbortHandler {
				reportTo(report, newPanic(Request, where, value))
			}
			panic(http.ErrAbortHandler)
		}()
		next.ServeHTTP(w, r)
	})
}

// Recovered describes the panic of a request that a deferred function has recovered with the given
// value.
func Recovered(where string, value any) Panic { return newPanic(Request, where, value) }

// Server is a long-running part, as a supervisor runs it.
type Server interface {
	Serve(ctx context.Context) error
}

// Service is a part that is ended by its panic, and stays so until the process ends: what it holds
// may be half changed. Use NewService.
type Service struct {
	next   Server
	report Report
}

// NewService returns a service that contains the panics of a part.
func NewService(next Server, report Report) *Service { return &Service{next: next, report: report} }

// String returns the name of the part, or its type where it has none.
func (s *Service) String() string {
	if named, ok := s.next.(fmt.Stringer); ok {
		return named.String()
	}
	return fmt.Sprintf("%T", s.next)
}

// Serve runs the part until the context ends.
func (s *Service) Serve(ctx context.Context) error {
	var err error
	if Run(Part, s.String(), s.report, func() { err = s.next.Serve(ctx) }) {
		return err
	}
	<-ctx.Done()
	return ctx.Err()
}
