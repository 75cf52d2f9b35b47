package consul_test

import (
	"crypto/tls"
	"crypto/x509"
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

// TestEncryptedAnswerWithAnOddHeadIsNotBelieved guards against the same over TLS.
func TestEncryptedAnswerWithAnOddHeadIsNotBelieved(t *testing.T) {
	const body = `[{"Key":"a","Value":"MQ==","ModifyIndex":9,"CreateIndex":9}]`
	var text atomic.Value
	server := testheads.ServeTLS(t, func(*http.Request) string { return text.Load().(string) })
	trusted := x509.NewCertPool()
	trusted.AddCert(server.Certificate())
	client := consul.New(consul.Config{Address: server.URL, TLS: &tls.Config{RootCAs: trusted}})
	defer client.Close()
	for _, answer := range testheads.Taken("X-Consul-Index: 9\r\n", body) {
		text.Store(answer.Text)
		if record, _, err := client.Get(t.Context(), "a", store.ReadOptions{}); err == nil {
			t.Errorf("%s: %+v", answer.Name, record)
		}
	}
	text.Store(testheads.WithStatus("200", "X-Consul-Index: 9\r\n", body).Text)
	if record, _, err := client.Get(t.Context(), "a", store.ReadOptions{}); err != nil || string(record.Value) != "1" {
		t.Errorf("%+v, %v", record, err)
	}
	stranger := consul.New(consul.Config{Address: server.URL})
	defer stranger.Close()
	if _, _, err := stranger.Get(t.Context(), "a", store.ReadOptions{}); err == nil {
		t.Error("a server was believed whose certificate no authority has signed")
	}
}
