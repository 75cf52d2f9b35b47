package consul

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/levertide/levertide/internal/platform/consul/wire"
	"github.com/levertide/levertide/pkg/store"
)

// CreateSession implements store.Store.
func (c *Client) CreateSession(ctx context.Context, name string, ttl time.Duration) (string, error) {
	body, err := json.Marshal(wire.SessionRequest{
		Name:      name,
		TTL:       formatDuration(ttl),
		LockDelay: formatDuration(c.config.LockDelay),
		Behavior:  wire.BehaviorRelease,
	})
	if err != nil {
		return "", store.ErrRefused.Wrap(err, "the session cannot be encoded")
	}
	call := request{method: http.MethodPut, path: wire.PathSessionCreate, body: body, write: true}
	received, err := c.send(ctx, call)
	if err != nil {
		return "", err
	}
	var session wire.SessionResponse
	if err := received.decode(&session, call); err != nil {
		return "", err
	}
	return session.ID, nil
}

// RenewSession implements store.Store.
func (c *Client) RenewSession(ctx context.Context, session string) error {
	received, err := c.send(ctx, request{method: http.MethodPut, path: wire.PathSessionRenew + session, write: true})
	if err != nil {
		return err
	}
	if received.status == http.StatusNotFound {
		return store.ErrSessionGone.New("the session has expired or was destroyed")
	}
	return nil
}

// DestroySession implements store.Store.
func (c *Client) DestroySession(ctx context.Context, session string) error {
	_, err := c.send(ctx, request{method: http.MethodPut, path: wire.PathSessionDestroy + session, write: true})
	return err
}
