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

// Fault says what becomes of one request.
type Fault uint8

// The faults.
const (
	// FaultNone carries the request out and answers.
	FaultNone Fault = iota
	// FaultRefuse does not carry it out: ErrUnreachable.
	FaultRefuse
	// FaultLoseRequest does not carry a write out, but leaves its sender in
	// doubt: ErrUnknownOutcome. A read is ErrUnreachable.
	FaultLoseRequest
	// FaultLoseAnswer carries a write out and loses the answer: ErrUnknownOutcome.
	FaultLoseAnswer
	// FaultHoldBack answers a write with ErrUnknownOutcome and carries it out
	// only when DeliverHeld is called, after writes that were sent later.
	FaultHoldBack
	// FaultRateLimit does not carry it out: ErrRateLimited.
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

// write carries out a change under the lock, with the fault chosen for it.
func (s *Store) write(request Request, change func() error) error {
	fault := s.intercept(request)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch fault {
	case FaultNone:
		return change()
	case FaultLoseAnswer:
		_ = change() // the answer is lost, whatever it was
	case FaultHoldBack:
		s.held = append(s.held, change)
	case FaultLoseRequest:
	case FaultRateLimit:
		return store.RateLimited(0)
	default:
		return store.ErrUnreachable.New("the write was refused")
	}
	return store.ErrUnknownOutcome.New("the answer to the write was lost")
}

// DeliverHeld carries out, in the order of their sending, the writes that
// FaultHoldBack kept, and returns how many there were.
func (s *Store) DeliverHeld() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	held := s.held
	s.held = nil
	for _, change := range held {
		_ = change() // nobody waits for this answer
	}
	return len(held)
}
