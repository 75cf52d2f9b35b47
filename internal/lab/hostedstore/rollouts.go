package hostedstore

import (
	"context"
	"time"

	"github.com/levertide/levertide/internal/hosted"
)

// Order writes an operators' order to move a service to another version.
func (s *Store) Order(service, target string, duration time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	s.orders[service] = hosted.Order{Service: service, Target: target, Era: s.era, Revision: s.revision, Duration: duration}
	s.wake()
}

// Status returns the status of a service's roll-out as operators read it.
func (s *Store) Status(service string) hosted.RolloutStatus {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.statuses[service]
}

// ordersAfter returns the orders written after a revision.
func (s *Store) ordersAfter(revision uint64) []hosted.Order {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var orders []hosted.Order
	for _, o := range s.orders {
		if o.Revision > revision {
			o.Era, o.FromCopy = s.era, o.Era < s.era
			orders = append(orders, o)
		}
	}
	return orders
}

// Orders implements hosted.RolloutStore.
func (c *Client) Orders(ctx context.Context) ([]hosted.Order, error) {
	if _, err := c.begin(ctx, CallOrders); err != nil {
		return nil, err
	}
	return c.store.ordersAfter(0), nil
}

// Status implements hosted.RolloutStore.
func (c *Client) Status(ctx context.Context, service string) (hosted.RolloutStatus, error) {
	if _, err := c.begin(ctx, CallStatus); err != nil {
		return hosted.RolloutStatus{}, err
	}
	held := c.store.Status(service)
	held.Service = service
	return held, nil
}

// WriteStatus implements hosted.RolloutStore.
func (c *Client) WriteStatus(ctx context.Context, proposed hosted.RolloutStatus) (hosted.RolloutStatus, bool, error) {
	faults, err := c.begin(ctx, CallStatus)
	if err != nil {
		return hosted.RolloutStatus{}, false, err
	}
	held, written := c.store.writeStatus(proposed)
	if err := faults.loseAnswer(ctx); err != nil {
		return hosted.RolloutStatus{}, false, err
	}
	return held, written, nil
}

func (s *Store) writeStatus(proposed hosted.RolloutStatus) (hosted.RolloutStatus, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	held := s.statuses[proposed.Service]
	if held.Revision != proposed.Revision {
		return held, false
	}
	s.revision++
	proposed.Revision = s.revision
	s.statuses[proposed.Service] = proposed
	return proposed, true
}
