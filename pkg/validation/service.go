package validation

import (
	"fmt"
	"time"

	"github.com/levertide/levertide/pkg/model"
)

func (s subject) checkService(service model.Service) {
	limits := s.checker.limits
	s.checkRange("spec.slots", service.Slots, 1, limits.MaxSlots)
	s.checkRange("spec.connections", service.Connections, 1, limits.MaxConnections)
	s.checkRange("spec.queue", service.Queue, 0, limits.MaxQueue)
	if service.Connections < service.Slots {
		s.report("spec.connections", fmt.Sprintf("%d connections cannot fill %d slots", service.Connections, service.Slots), "")
	}
	s.checkDuration("spec.timeout", service.Timeout, limits.MaxTimeout)
	s.checkDuration("spec.slowStart", service.SlowStart, limits.MaxSlowStart)
	s.checkCalls(service.Calls)
}

func (s subject) checkDuration(field string, value, highest time.Duration) {
	if value < 0 || value > highest {
		s.report(field, fmt.Sprintf("%s is not between 0s and %s", value, highest), "")
	}
}

func (s subject) checkCalls(calls []string) {
	seen := make(map[string]struct{}, len(calls))
	for index, name := range calls {
		field := fmt.Sprintf("spec.calls[%d]", index)
		if _, duplicate := seen[name]; duplicate {
			s.report(field, fmt.Sprintf("%q is listed twice", name), "")
			continue
		}
		seen[name] = struct{}{}
		if !s.checker.partial {
			s.checkReference(field, model.KindService, name)
		}
	}
}

func (s subject) checkSecret(secret model.Secret) {
	s.checkRange("spec.value", len(secret.Value), 1, s.checker.limits.MaxSecretBytes)
}
