// Package evidencewire writes what nodes know of requests that crash workers as messages
// between nodes, in both modes.
package evidencewire

import (
	"encoding/base64"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/levertide/levertide/internal/exchangepb"
	"github.com/levertide/levertide/pkg/quarantine"
)

// EncodeReports returns the messages of reports.
func EncodeReports(reports []quarantine.Report) []*exchangepb.Evidence {
	messages := make([]*exchangepb.Evidence, 0, len(reports))
	for _, r := range reports {
		messages = append(messages, &exchangepb.Evidence{
			Fingerprint: r.Fingerprint[:], Instance: r.Instance, Level: uint32(r.Level),
			Answered: r.Answered, Lifted: r.Lifted, AgeMs: r.Age.Milliseconds(),
		})
	}
	return messages
}

// DecodeReports reads messages; those of newer programs that cannot be read are left out.
func DecodeReports(messages []*exchangepb.Evidence) []quarantine.Report {
	reports := make([]quarantine.Report, 0, len(messages))
	for _, message := range messages {
		f, ok := quarantine.ParseFingerprint(message.GetFingerprint())
		if !ok {
			continue // of a newer program
		}
		reports = append(reports, quarantine.Report{
			Fingerprint: f, Instance: message.GetInstance(), Level: int(message.GetLevel()),
			Answered: message.GetAnswered(), Lifted: message.GetLifted(), Age: time.Duration(message.GetAgeMs()) * time.Millisecond,
		})
	}
	return reports
}

// EncodeVerdicts returns the messages of verdicts.
func EncodeVerdicts(list []quarantine.Verdict) []*exchangepb.Quarantine {
	var messages []*exchangepb.Quarantine
	for _, v := range list {
		messages = append(messages, &exchangepb.Quarantine{
			Fingerprint: v.Fingerprint[:], SinceUnixMs: v.Since.UnixMilli(), UntilUnixMs: v.Until.UnixMilli(), Instances: v.Instances,
		})
	}
	return messages
}

// DecodeVerdicts reads messages; those of newer programs that cannot be read are left out.
func DecodeVerdicts(messages []*exchangepb.Quarantine) []quarantine.Verdict {
	var list []quarantine.Verdict
	for _, message := range messages {
		f, ok := quarantine.ParseFingerprint(message.GetFingerprint())
		if !ok {
			continue // of a newer program
		}
		list = append(list, quarantine.Verdict{
			Fingerprint: f, Since: time.UnixMilli(message.GetSinceUnixMs()), Until: time.UnixMilli(message.GetUntilUnixMs()),
			Instances: message.GetInstances(),
		})
	}
	return list
}

// maxHeaderEvidence bounds the pieces of evidence in a header, some 80 bytes each.
const maxHeaderEvidence = 8

// EncodeHeader returns what a table knows as the value of a header; empty when it knows nothing.
func EncodeHeader(table *quarantine.Table, now time.Time) string {
	if table.Empty() {
		return ""
	}
	verdicts := table.Verdicts(now)
	known := &exchangepb.Known{
		Evidence:    EncodeReports(table.Reports(maxHeaderEvidence, now)),
		Quarantined: EncodeVerdicts(verdicts[max(len(verdicts)-maxHeaderEvidence, 0):]),
	}
	encoded, err := proto.Marshal(known)
	if err != nil {
		panic("evidencewire: what is known cannot be encoded: " + err.Error())
	}
	return base64.StdEncoding.EncodeToString(encoded)
}

// MergeHeader has a table take what a header of another node tells. A header that cannot be
// read, as one of a newer program, tells nothing.
func MergeHeader(table *quarantine.Table, value string, now time.Time) {
	if value == "" {
		return
	}
	encoded, err := base64.StdEncoding.DecodeString(value)
	if err != nil {
		return
	}
	var known exchangepb.Known
	if proto.Unmarshal(encoded, &known) != nil {
		return
	}
	table.Merge(DecodeReports(known.GetEvidence()), now)
	table.Restore(DecodeVerdicts(known.GetQuarantined()), false, now)
}
