package memory

import "github.com/levertide/levertide/pkg/store"

// RequestKind names one method of the store.
type RequestKind string

// The kinds of request.
const (
	RequestGet            RequestKind = "get"
	RequestGetMany        RequestKind = "get-many"
	RequestList           RequestKind = "list"
	RequestListKeys       RequestKind = "list-keys"
	RequestTransact       RequestKind = "transact"
	RequestCreateSession  RequestKind = "create-session"
	RequestRenewSession   RequestKind = "renew-session"
	RequestDestroySession RequestKind = "destroy-session"
	RequestAcquire        RequestKind = "acquire"
	RequestRelease        RequestKind = "release"
)

// Request describes a request to Options.Intercept.
type Request struct {
	Kind       RequestKind
	Keys       []string
	Session    string
	Operations []store.Operation
}

// Fault selects what happens to one request.
type Fault uint8

// The faults.
const (
	// FaultNone carries the request out and returns its result.
	FaultNone Fault = iota
	// FaultRefuse does not carry the request out, and returns ErrUnreachable.
	FaultRefuse
	// FaultLoseRequest does not carry a write out, and returns ErrUnknownOutcome, so
	// that the sender cannot tell. For a read it returns ErrUnreachable.
	FaultLoseRequest
	// FaultLoseAnswer carries a write out, and returns ErrUnknownOutcome in place of
	// the result.
	FaultLoseAnswer
	// FaultHoldBack returns ErrUnknownOutcome for a write, and carries it out only
	// when DeliverHeld is called, after writes that were sent later.
	FaultHoldBack
	// FaultRateLimit does not carry the request out, and returns ErrRateLimited.
	FaultRateLimit
)

func (s *Store) intercept(request Request) Fault {
	if s.options.Intercept == nil {
		return FaultNone
	}
	return s.options.Intercept(request)
}

func (f Fault) readError() error {
	switch f {
	case FaultNone:
		return nil
	case FaultRateLimit:
		return store.RateLimited(0)
	default:
		return store.ErrUnreachable.New("the read was not answered")
	}
}

// write carries out a change under the lock, subject to the fault that
// Options.Intercept returns for the request.
func (s *Store) write(request Request, change func() error) error {
	fault := s.intercept(request)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch fault {
	case FaultNone:
		return change()
	case FaultLoseAnswer:
		_ = change() // the fault loses the result
	case FaultHoldBack:
		s.heldWrites = append(s.heldWrites, change)
	case FaultLoseRequest:
	case FaultRateLimit:
		return store.RateLimited(0)
	default:
		return store.ErrUnreachable.New("the write was refused")
	}
	return store.ErrUnknownOutcome.New("the answer to the write was lost")
}

// DeliverHeld carries out the writes that FaultHoldBack delayed, in the order in
// which they were sent, and returns their number.
func (s *Store) DeliverHeld() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	held := s.heldWrites
	s.heldWrites = nil
	for _, change := range held {
		_ = change() // the sender already got ErrUnknownOutcome
	}
	return len(held)
}
