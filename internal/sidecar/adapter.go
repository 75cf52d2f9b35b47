package sidecar

import (
	"context"
	"net/http"
	"time"

	"github.com/levertide/levertide/internal/forwarding"
	"github.com/levertide/levertide/internal/hosted"
	"github.com/levertide/levertide/internal/httpconn"
	"github.com/levertide/levertide/pkg/model"
	"github.com/levertide/levertide/pkg/workers"
)

// Translation is an operators' document, translated to the resources of levertide.
type Translation struct {
	Version   uint64
	Resources []model.Resource
	// MaximumBody bounds the body of a request, in bytes; zero sets no bound.
	MaximumBody int64
	// MaximumHead bounds the head of a request, in bytes, HeadTimeout its arrival, and IdleTimeout the
	// rest of a connection between two requests; zero leaves that to the node.
	MaximumHead              int
	HeadTimeout, IdleTimeout time.Duration
	// Omitted describes each part of the document that could not be used, without showing any
	// key. The rest is used.
	Omitted []string
}

// Identity is what a worker reports about itself in its answers.
type Identity struct {
	Instance string
	// Slots is how many requests the worker runs at once.
	Slots int
	// Busy is how many requests the worker runs or has waiting.
	Busy int
	// Limit is how many requests per second the worker takes.
	Limit workers.Limit
}

// Registrar receives what workers report about themselves. When a method returns nil, success
// may be reported to the worker.
type Registrar interface {
	Heartbeat(ctx context.Context, heartbeat workers.Heartbeat) error
	Leave(ctx context.Context, incarnation workers.Incarnation) error
	// Reject records a call that cannot be used: one of another program, or a malformed one.
	Reject(instance string, err error)
}

// Adapter translates between levertide and one platform. It makes no decisions and holds no
// state beyond connections and what makes the next translation cheaper.
type Adapter struct {
	Dialect forwarding.Dialect
	// Open connects to the platform's store. The last result is nil on a platform whose
	// operators order no roll-outs.
	Open func(address string, dial httpconn.DialFunc) (hosted.Source, hosted.Directory, hosted.RolloutStore)
	// Translate parses a document; it fails with hosted.ErrInvalidDocument. Resources
	// that are the same pointers as those of the previous document have not changed.
	Translate func(content []byte) (Translation, error)
	// Identity parses what a worker reports about itself in an answer; false when it reports
	// too little.
	Identity func(header http.Header) (Identity, bool)
	// Suspended returns for how long the machine was suspended since a moment; nil means
	// that package suspend finds it by the clocks of the machine.
	Suspended func(since time.Time) time.Duration
	// Registration returns the handler of the API that workers call.
	Registration func(registrar Registrar) http.Handler
	// Readiness returns the handler that reports whether the node accepts calls.
	Readiness func(ready func() bool) http.Handler
}
