package connect

import (
	"flag"
	"net/http"
	"sync/atomic"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/levertide/levertide/internal/controlpb"
	"github.com/levertide/levertide/internal/testheads"
)

// TestStatusWithAnOddHeadIsNotBelieved guards against a state of the system out of an answer that is not HTTP.
func TestStatusWithAnOddHeadIsNotBelieved(t *testing.T) {
	const fields = "Content-Type: application/protobuf\r\n"
	encoded, err := proto.Marshal(&controlpb.StatusResponse{Coordinator: "c"})
	if err != nil {
		t.Fatal(err)
	}
	answers := testheads.Answers(fields, string(encoded))
	for _, status := range testheads.Statuses() {
		answers = append(answers, testheads.WithStatus(status, fields, string(encoded)))
	}
	var text atomic.Value
	address := testheads.Serve(t, func(*http.Request) string { return text.Load().(string) })
	flags := &NodeFlags{}
	set := flag.NewFlagSet("test", flag.ContinueOnError)
	flags.Register(set)
	if err := set.Parse([]string{"--node", address}); err != nil {
		t.Fatal(err)
	}
	nodes, err := flags.Open()
	if err != nil {
		t.Fatal(err)
	}
	defer nodes.Close()
	for _, answer := range answers {
		text.Store(answer.Text)
		if _, err := nodes.Status(t.Context()); err == nil {
			t.Errorf("%s: an answer", answer.Name)
		}
	}
	text.Store(testheads.WithStatus("200", fields, string(encoded)).Text)
	if _, err := nodes.Status(t.Context()); err != nil {
		t.Error(err)
	}
}
