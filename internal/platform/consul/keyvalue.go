package consul

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/levertide/levertide/internal/platform/consul/wire"
	"github.com/levertide/levertide/pkg/store"
)

// Get implements store.Store.
func (c *Client) Get(ctx context.Context, key string, options store.ReadOptions) (store.Record, uint64, error) {
	call := request{method: http.MethodGet, path: wire.PathKeyValue + key, query: url.Values{}}
	if options.Consistent {
		call.query.Set(wire.QueryConsistent, "")
	}
	if options.WaitIndex != 0 {
		call.wait = options.Wait
		call.query.Set(wire.QueryIndex, strconv.FormatUint(options.WaitIndex, 10))
		call.query.Set(wire.QueryWait, formatDuration(options.Wait))
	}
	received, err := c.send(ctx, call)
	if err != nil {
		return store.Record{}, 0, err
	}
	if received.status != http.StatusOK {
		return store.Record{}, received.index(), store.ErrNotFound.New("no record %s", key)
	}
	records, err := decodeRecords(received, call)
	if err != nil {
		return store.Record{}, 0, err
	}
	if len(records) != 1 {
		return store.Record{}, 0, store.ErrUnreachable.New("got %d records for key %s, want 1", len(records), key)
	}
	return records[0], received.index(), nil
}

func decodeRecords(received answer, call request) ([]store.Record, error) {
	var found []wire.KeyValue
	if err := received.decode(&found, call); err != nil {
		return nil, err
	}
	records := make([]store.Record, len(found))
	for i, item := range found {
		records[i] = recordOf(item)
	}
	return records, nil
}

func recordOf(item wire.KeyValue) store.Record {
	return store.Record{Key: item.Key, Value: item.Value, ModifyIndex: item.ModifyIndex, Session: item.Session}
}

// List implements store.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]store.Record, error) {
	received, call, err := c.sendList(ctx, prefix, wire.QueryRecurse)
	if err != nil || received.status != http.StatusOK {
		return nil, err
	}
	return decodeRecords(received, call)
}

// ListKeys implements store.Store.
func (c *Client) ListKeys(ctx context.Context, prefix string) ([]string, error) {
	received, call, err := c.sendList(ctx, prefix, wire.QueryKeys)
	if err != nil || received.status != http.StatusOK {
		return nil, err
	}
	var keys []string
	if err := received.decode(&keys, call); err != nil {
		return nil, err
	}
	return keys, nil
}

func (c *Client) sendList(ctx context.Context, prefix, parameter string) (answer, request, error) {
	query := url.Values{}
	query.Set(parameter, "")
	query.Set(wire.QueryConsistent, "")
	call := request{method: http.MethodGet, path: wire.PathKeyValue + prefix, query: query}
	received, err := c.send(ctx, call)
	return received, call, err
}

// Acquire implements store.Store.
func (c *Client) Acquire(ctx context.Context, key string, value []byte, session string) (bool, error) {
	query := url.Values{}
	query.Set(wire.QueryAcquire, session)
	return c.put(ctx, key, value, query)
}

// Release implements store.Store.
func (c *Client) Release(ctx context.Context, key string, session string) error {
	query := url.Values{}
	query.Set(wire.QueryRelease, session)
	_, err := c.put(ctx, key, nil, query)
	return err
}

// put writes one key and returns whether the platform has carried out the write.
func (c *Client) put(ctx context.Context, key string, value []byte, query url.Values) (bool, error) {
	call := request{
		method: http.MethodPut,
		path:   wire.PathKeyValue + key,
		query:  query,
		body:   value,
		write:  true,
	}
	received, err := c.send(ctx, call)
	if err != nil {
		return false, err
	}
	var done bool
	if err := received.decode(&done, call); err != nil {
		return false, err
	}
	return done, nil
}

// GetMany implements store.Store with a read-only transaction.
func (c *Client) GetMany(ctx context.Context, keys []string, consistent bool) ([]store.Record, error) {
	if len(keys) > store.MaxTransactionOperations {
		return nil, store.ErrTooLarge.New("%d keys exceed the limit of %d", len(keys), store.MaxTransactionOperations)
	}
	steps := make([]wire.Operation, len(keys))
	for i, key := range keys {
		steps[i].KV = wire.KeyOperation{Verb: wire.VerbGetOrEmpty, Key: key}
	}
	query := url.Values{}
	if consistent {
		query.Set(wire.QueryConsistent, "")
	}
	response, err := c.transact(ctx, steps, query, false)
	if err != nil {
		return nil, err
	}
	var records []store.Record
	for _, result := range response.Results {
		if result.KV.ModifyIndex != 0 {
			records = append(records, recordOf(result.KV))
		}
	}
	return records, nil
}

// Transact implements store.Store.
func (c *Client) Transact(ctx context.Context, operations []store.Operation) error {
	if err := store.CheckTransactionSize(operations); err != nil {
		return err
	}
	steps := make([]wire.Operation, len(operations))
	for i, operation := range operations {
		verb, err := verbOf(operation)
		if err != nil {
			return err
		}
		steps[i].KV = wire.KeyOperation{
			Verb:  verb,
			Key:   operation.Key,
			Value: operation.Value,
			Index: operation.Index,
		}
	}
	_, err := c.transact(ctx, steps, nil, true)
	return err
}

func verbOf(operation store.Operation) (string, error) {
	switch {
	case operation.Verb == store.VerbSet:
		return wire.VerbSet, nil
	case operation.Verb == store.VerbCompareAndSwap:
		return wire.VerbCAS, nil
	case operation.Verb == store.VerbDelete:
		return wire.VerbDelete, nil
	case operation.Verb == store.VerbCheckIndex && operation.Index == 0:
		return wire.VerbCheckNotExists, nil
	case operation.Verb == store.VerbCheckIndex:
		return wire.VerbCheckIndex, nil
	default:
		return "", store.ErrRefused.New("unknown verb %q", operation.Verb)
	}
}

func (c *Client) transact(ctx context.Context, steps []wire.Operation, query url.Values, write bool) (wire.TransactionResponse, error) {
	var response wire.TransactionResponse
	body, err := json.Marshal(steps)
	if err != nil {
		return response, store.ErrRefused.Wrap(err, "the transaction cannot be encoded")
	}
	call := request{method: http.MethodPut, path: wire.PathTransaction, query: query, body: body, write: write}
	received, err := c.send(ctx, call)
	if err != nil {
		return response, err
	}
	if err := received.decode(&response, call); err != nil {
		return response, err
	}
	if received.status == http.StatusOK {
		return response, nil
	}
	if len(response.Errors) == 0 {
		return response, store.ErrConflict.New("the transaction was rolled back")
	}
	return response, store.ErrConflict.New("the transaction was rolled back: %s", response.Errors[0].What)
}

// formatDuration returns a duration in milliseconds, in the format of the platform's API.
func formatDuration(duration time.Duration) string {
	return strconv.FormatInt(duration.Milliseconds(), 10) + "ms"
}
