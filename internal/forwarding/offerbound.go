package forwarding

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/levertide/levertide/internal/intake"
)

// beginOffer counts a call that is on its way to another node; it reports false when there are too
// many for the descriptors of the process.
func (p *Plane) beginOffer() bool {
	limit := int64(p.config.Intake.Offers)
	if p.offers.Add(1) > limit && limit > 0 {
		p.offers.Add(-1)
		p.refusedOffers.Add(1)
		if p.config.IntakeReached != nil {
			p.config.IntakeReached("offers", intake.Connections)
		}
		return false
	}
	return true
}

// exchangeOffer makes an exchange with another node, which ends the offer unless it has an answer.
func (p *Plane) exchangeOffer(ctx context.Context, exchange *httpExchange) (response *http.Response, err error) {
	defer func() {
		if response == nil {
			p.endOffer()
		}
	}()
	response, err = exchange.do(ctx)
	if err != nil {
		return nil, err
	}
	response.Body = &offerBody{ReadCloser: response.Body, plane: p}
	return response, nil
}

func (p *Plane) endOffer() { p.offers.Add(-1) }

// offerBody is the body of another node's answer. The offer ends with it.
type offerBody struct {
	io.ReadCloser
	plane *Plane
	ended atomic.Bool
}

// Close implements io.Closer.
func (b *offerBody) Close() error {
	if !b.ended.Swap(true) {
		b.plane.endOffer()
	}
	return b.ReadCloser.Close()
}
