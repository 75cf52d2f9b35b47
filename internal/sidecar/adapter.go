package sidecar

import (
	"context"
	"net/http"
	"time"

	"github.com/levertide/levertide/internal/forwarding"
	"github.com/levertide/levertide/internal/hosted"
	"github.com/levertide/levertide/internal/httpleg"
	"github.com/levertide/levertide/pkg/model"
	"github.com/levertide/levertide/pkg/workers"
)

// Translation is an operators' document in the words of the product.
type Translation struct {
	Version   uint64
	Resources []model.Resource
	// MaximumBody bounds the body of a request, in bytes; zero sets no bound.
	MaximumBody int64
	// Omitted says what of the document could not be used, in sentences without any key.
	// The rest is used.
	Omitted []string
}

// Identity is what a worker says of itself in its answers.
type Identity struct {
	Instance string
	// Slots is how many requests the worker runs at once.
	Slots int
	// Busy is how many requests the worker runs or has waiting.
	Busy int
}

// Registrar takes what workers say of themselves. When a method returns nil, the
// worker may be told so.
type Registrar interface {
	Heartbeat(ctx context.Context, beat workers.Heartbeat) error
	Leave(ctx context.Context, life workers.Incarnation) error
	// Reject takes a call that cannot be used: another writer's, or a broken one.
	Reject(instance string, err error)
}

// Adapter translates between the product and one platform. It decides nothing
// and keeps nothing beyond connections and what makes the next translation cheaper.
type Adapter struct {
	Dialect forwarding.Dialect
	// Open connects to the platform's store. The last result is nil where operators
	// order no roll-outs.
	Open func(address string, dial httpleg.DialFunc) (hosted.Source, hosted.Directory, hosted.RolloutStore)
	// Translate reads a document; it fails with hosted.ErrInvalidDocument. Resources
	// that are the same pointers as those of the former document have not changed.
	Translate func(content []byte) (Translation, error)
	// Identity reads what a worker says of itself in an answer; false when it says
	// too little.
	Identity func(header http.Header) (Identity, bool)
	// Suspended returns for how long the machine was suspended since a moment; nil has the
	// clocks of the machine tell.
	Suspended func(since time.Time) time.Duration
	// Registration returns the handler of the address that workers call.
	Registration func(registrar Registrar) http.Handler
	// Readiness returns the handler that tells whether callers may come.
	Readiness func(ready func() bool) http.Handler
}
