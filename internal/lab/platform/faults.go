package platform

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/levertide/levertide/internal/platform/consul/wire"
)

// Outage is the way in which the store is unavailable.
type Outage string

// The kinds of outage.
const (
	OutageNone Outage = ""
	// OutageRefuse closes the listener and all connections.
	OutageRefuse Outage = "refuse"
	// OutageClose reads requests and closes the connection without an answer
	// and without executing them.
	OutageClose Outage = "close"
	// OutageNoLeader answers that the platform has no leader.
	OutageNoLeader Outage = "no-leader"
)

// Faults are the faults injected into the platform. The zero value injects none.
type Faults struct {
	Outage Outage `json:"outage,omitempty"`
	// Delay is added before each answer.
	Delay time.Duration `json:"delay,omitempty"`
	// RequestsPerSecond limits the rate when it is not zero; Burst is at least one.
	RequestsPerSecond float64 `json:"requestsPerSecond,omitempty"`
	Burst             int     `json:"burst,omitempty"`
	// LoseRequests is how many of the next writes are not executed and have their
	// connection closed. LoseAnswers is how many are executed before it is closed.
	LoseRequests int `json:"loseRequests,omitempty"`
	LoseAnswers  int `json:"loseAnswers,omitempty"`
	// LoseAnswerShare is the share of all writes whose answer is lost.
	LoseAnswerShare float64 `json:"loseAnswerShare,omitempty"`
	// OnlyPath limits the three above to requests of this path.
	OnlyPath string `json:"onlyPath,omitempty"`
	// MachineListLag is how long a change of the machine list stays invisible.
	MachineListLag time.Duration `json:"machineListLag,omitempty"`
	// LockDelay is how long a key stays locked after its session expired.
	LockDelay time.Duration `json:"lockDelay,omitempty"`
}

// faultState holds the active faults.
type faultState struct {
	mutex   sync.Mutex
	faults  Faults
	bucket  *rate.Limiter
	random  *rand.Rand
	outages chan struct{}
}

func (f *faultState) init(seed uint64) {
	f.random = rand.New(rand.NewPCG(seed, seed))
	f.outages = make(chan struct{})
}

func (f *faultState) current() Faults {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.faults
}

func (f *faultState) set(faults Faults) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.faults.Outage == OutageNone && faults.Outage != OutageNone {
		close(f.outages)
	}
	if f.faults.Outage != OutageNone && faults.Outage == OutageNone {
		f.outages = make(chan struct{})
	}
	f.bucket = nil
	if faults.RequestsPerSecond > 0 {
		f.bucket = rate.NewLimiter(rate.Limit(faults.RequestsPerSecond), max(faults.Burst, 1))
	}
	f.faults = faults
}

// outageBegins returns a channel that is closed while there is an outage.
func (f *faultState) outageBegins() <-chan struct{} {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.outages
}

func (f *faultState) overRate() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.bucket != nil && !f.bucket.Allow()
}

// loss is the part of one write that is lost.
type loss uint8

const (
	loseNothing loss = iota
	loseRequest
	loseAnswer
)

// nextLoss decides what one write loses and decrements the count of that loss.
func (f *faultState) nextLoss(path string) loss {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	faults := &f.faults
	if faults.OnlyPath != "" && faults.OnlyPath != path {
		return loseNothing
	}
	switch {
	case faults.LoseRequests > 0:
		faults.LoseRequests--
		return loseRequest
	case faults.LoseAnswers > 0:
		faults.LoseAnswers--
		return loseAnswer
	case faults.LoseAnswerShare > 0 && f.random.Float64() < faults.LoseAnswerShare:
		return loseAnswer
	default:
		return loseNothing
	}
}

// SetFaults replaces the faults. It returns when they are active and the
// listener is opened or closed accordingly.
func (s *Server) SetFaults(faults Faults) {
	s.faults.set(faults)
	s.store.SetLockDelay(faults.LockDelay)
	s.setListening(faults.Outage != OutageRefuse)
}

// Faults returns the active faults; counts show how many losses remain.
func (s *Server) Faults() Faults { return s.faults.current() }

// withFaults counts each request and applies the active faults before next serves it.
func (s *Server) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		kind := kindOf(request)
		s.counters.count(kind, request)
		faults := s.faults.current()
		waitOrEnd(request, faults.Delay)
		switch {
		case faults.Outage == OutageRefuse || faults.Outage == OutageClose:
			panic(http.ErrAbortHandler)
		case faults.Outage == OutageNoLeader:
			http.Error(writer, wire.TextNoLeader, http.StatusInternalServerError)
			return
		case s.faults.overRate():
			s.counters.countRefused()
			http.Error(writer, wire.TextRateLimit, http.StatusTooManyRequests)
			return
		}
		s.serveWithLoss(next, writer, request, kind)
	})
}

func (s *Server) serveWithLoss(next http.Handler, writer http.ResponseWriter, request *http.Request, kind RequestKind) {
	lost := loseNothing
	if kind.isWrite() {
		lost = s.faults.nextLoss(request.URL.Path)
	}
	switch lost {
	case loseRequest:
		panic(http.ErrAbortHandler)
	case loseAnswer:
		next.ServeHTTP(&discardedAnswer{header: http.Header{}}, request)
		panic(http.ErrAbortHandler)
	default:
		next.ServeHTTP(writer, request)
	}
}

func waitOrEnd(request *http.Request, delay time.Duration) {
	if delay <= 0 {
		return
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-request.Context().Done():
	case <-timer.C:
	}
}

// discardedAnswer discards the answer to a write whose answer is lost.
type discardedAnswer struct{ header http.Header }

func (d *discardedAnswer) Header() http.Header            { return d.header }
func (d *discardedAnswer) Write(body []byte) (int, error) { return len(body), nil }
func (d *discardedAnswer) WriteHeader(int)                {}
