package consul_test

import (
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/levertide/levertide/internal/platform/consul"
	"github.com/levertide/levertide/internal/testheads"
	"github.com/levertide/levertide/pkg/store"
)

// TestAnswerWithAnOddHeadIsNotBelieved guards against a record out of an answer that is not HTTP.
func TestAnswerWithAnOddHeadIsNotBelieved(t *testing.T) {
	const fields = "X-Consul-Index: 9\r\n"
	const body = `[{"Key":"a","Value":"MQ==","ModifyIndex":9,"CreateIndex":9}]`
	answers := testheads.Answers(fields, body)
	for _, status := range testheads.Statuses() {
		answers = append(answers, testheads.WithStatus(status, fields, body))
	}
	var text atomic.Value
	address := testheads.Serve(t, func(*http.Request) string { return text.Load().(string) })
	client := consul.New(consul.Config{Address: "http://" + address})
	defer client.Close()
	for _, answer := range answers {
		text.Store(answer.Text)
		if record, _, err := client.Get(t.Context(), "a", store.ReadOptions{}); err == nil {
			t.Errorf("%s: %+v", answer.Name, record)
		}
	}
	text.Store(testheads.WithStatus("200", fields, body).Text)
	if record, _, err := client.Get(t.Context(), "a", store.ReadOptions{}); err != nil || string(record.Value) != "1" {
		t.Errorf("%+v, %v", record, err)
	}
}
