package hosted_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"github.com/levertide/levertide/internal/exchangepb"
)

// BenchmarkBorrow measures one message of a node to its hub and the answer, over loopback, with the
// cost of both ends. Bytes are those of the message and the answer without the HTTP headers.
func BenchmarkBorrow(b *testing.B) {
	for _, wants := range []int{0, 3, 20} {
		b.Run(fmt.Sprint(wants), func(b *testing.B) {
			hub := startNode(b, newStore(), "hub", "")
			client := exchangepb.NewExchangeProtobufClient("http://"+hub.address, http.DefaultClient, twirp.WithClientPathPrefix(""))
			request := &exchangepb.BorrowRequest{Mesh: "test", Sender: "sidecar-zone-12", Life: 1 << 60, Stamp: &exchangepb.Stamp{Life: 1 << 60, AtNs: 1 << 40}, Share: 1.0 / 68}
			for i := range wants {
				request.Wants = append(request.Wants, &exchangepb.TokenWant{Tenant: fmt.Sprint("tenant-", i), Rate: 21, Burst: 31, Held: 1, Wanted: 1, Waiting: 1})
			}
			b.ReportAllocs()
			bytes := 0
			for b.Loop() {
				request.Number++
				response, err := client.Borrow(b.Context(), request)
				if err != nil {
					b.Fatal(err)
				}
				bytes = proto.Size(request) + proto.Size(response)
			}
			b.ReportMetric(float64(bytes), "bytes")
		})
	}
}
