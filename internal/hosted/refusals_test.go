package hosted

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/levertide/levertide/pkg/endpoint"
	"github.com/levertide/levertide/pkg/workers"
)

// refusalLog keeps the reported refusals.
type refusalLog struct {
	discardEvents
	reported []Refusal
}

func (l *refusalLog) HeartbeatRejected(refusal Refusal) { l.reported = append(l.reported, refusal) }

// TestOneWriterDoesNotHideTheRefusalsOfAnother guards against a log that tells of one caller only.
func TestOneWriterDoesNotHideTheRefusalsOfAnother(t *testing.T) {
	log := &refusalLog{}
	r := newRefusals(log)
	_, err := endpoint.Parse("10.0.0.1")
	for range 100 {
		r.observe("loud", err)
	}
	r.observe("other", workers.ErrOtherAddress.New("no worker at 10.0.0.1:1 is beside this node, want 10.0.0.1:2"))
	if len(log.reported) != 2 || log.reported[0].Instance != "loud" || log.reported[1].Instance != "other" {
		t.Fatalf("%+v", log.reported)
	}
	if log.reported[0].Reason != RefusedAddress || log.reported[1].Reason != RefusedOtherAddress || r.counts[RefusedAddress].Load() != 100 {
		t.Errorf("%+v, %d", log.reported, r.counts[RefusedAddress].Load())
	}
	if waiting := r.byInstance["loud"].calls; waiting != 99 {
		t.Errorf("%d calls wait to be reported, want 99", waiting)
	}
}

// TestRefusalsOfManyIdentifiersAreBounded guards against a log and a table that grow with each identifier.
func TestRefusalsOfManyIdentifiersAreBounded(t *testing.T) {
	log := &refusalLog{}
	r := newRefusals(log)
	for n := range 10 * maximumRefused {
		r.observe(fmt.Sprint("i-", n), &http.MaxBytesError{Limit: 1})
	}
	if len(r.byInstance) > maximumRefused || len(log.reported) > 2*refusalLineBurst {
		t.Errorf("%d instances, %d lines", len(r.byInstance), len(log.reported))
	}
}

func TestReasonsOfRefusalsAreToldApart(t *testing.T) {
	_, address := endpoint.Parse("10.0.0.1 :80")
	for want, err := range map[RefusalReason]error{
		RefusedTooLarge: &http.MaxBytesError{Limit: 1}, RefusedAddress: address, RefusedOtherAddress: workers.ErrOtherAddress.New("other"),
		RefusedService: workers.ErrOtherService.New("other"), RefusedField: workers.ErrInvalid.New("slots"), RefusedUnreadable: fmt.Errorf("no JSON"),
	} {
		if reason := refusalReason(err); reason != want {
			t.Errorf("%v: %s, want %s", err, reason, want)
		}
	}
}
