package validation

import (
	"fmt"

	"github.com/levertide/levertide/pkg/model"
)

func (s subject) checkTenant(tenant model.Tenant) {
	s.checkRange("spec.rank", tenant.Rank, 0, s.checker.limits.MaxRank)
	if limit := s.checker.limits.MaxTenantKeys; len(tenant.Keys) > limit {
		s.report("spec.keys", fmt.Sprintf("%d keys are listed, the limit is %d", len(tenant.Keys), limit), "")
	}
	if tenant.Rate < 0 || tenant.Burst < 0 {
		s.report("spec", "the rate or the burst is negative", "")
	}
	for index, key := range tenant.Keys {
		s.checkKeyUnique(fmt.Sprintf("spec.keys[%d]", index), key)
	}
}

// checkKeyUnique reports a key that another tenant lists, too: the key would not identify which
// of them a request comes from. The report does not contain the key.
func (s subject) checkKeyUnique(field string, key model.KeyDigest) {
	holder, listed := s.checker.keyHolders[key]
	if !listed {
		s.checker.keyHolders[key] = s.key
		return
	}
	if holder != s.key {
		s.checker.report(Problem{Key: s.key, Field: field, Message: "the key is listed also by", Other: holder, OtherField: "spec.keys"})
	}
}
