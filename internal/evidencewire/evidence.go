// Package evidencewire encodes and decodes the messages in which nodes exchange evidence
// and quarantine verdicts on requests that crash workers, in both modes.
package evidencewire

import (
	"encoding/base64"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/levertide/levertide/internal/exchangepb"
	"github.com/levertide/levertide/pkg/quarantine"
)

// EncodeReports returns reports of evidence as messages.
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

// DecodeReports returns the reports in messages. Messages with a fingerprint in a format
// that only newer programs know are left out.
func DecodeReports(messages []*exchangepb.Evidence) []quarantine.Report {
	reports := make([]quarantine.Report, 0, len(messages))
	for _, message := range messages {
		f, ok := quarantine.ParseFingerprint(message.GetFingerprint())
		if !ok {
			continue // written by a newer program
		}
		reports = append(reports, quarantine.Report{
			Fingerprint: f, Instance: message.GetInstance(), Level: int(message.GetLevel()),
			Answered: message.GetAnswered(), Lifted: message.GetLifted(), Age: time.Duration(message.GetAgeMs()) * time.Millisecond,
		})
	}
	return reports
}

// EncodeVerdicts returns quarantine verdicts as messages.
func EncodeVerdicts(list []quarantine.Verdict) []*exchangepb.Quarantine {
	var messages []*exchangepb.Quarantine
	for _, v := range list {
		messages = append(messages, &exchangepb.Quarantine{
			Fingerprint: v.Fingerprint[:], SinceUnixMs: v.Since.UnixMilli(), UntilUnixMs: v.Until.UnixMilli(), Instances: v.Instances,
		})
	}
	return messages
}

// DecodeVerdicts returns the verdicts in messages. Messages with a fingerprint in a format
// that only newer programs know are left out.
func DecodeVerdicts(messages []*exchangepb.Quarantine) []quarantine.Verdict {
	var list []quarantine.Verdict
	for _, message := range messages {
		f, ok := quarantine.ParseFingerprint(message.GetFingerprint())
		if !ok {
			continue // written by a newer program
		}
		list = append(list, quarantine.Verdict{
			Fingerprint: f, Since: time.UnixMilli(message.GetSinceUnixMs()), Until: time.UnixMilli(message.GetUntilUnixMs()),
			Instances: message.GetInstances(),
		})
	}
	return list
}

// maxHeaderEvidence bounds the number of reports, and the number of verdicts, in a header.
// Each takes about 80 bytes.
const maxHeaderEvidence = 8

// EncodeHeader returns the evidence and the verdicts of a table as the value of a header;
// empty when the table is empty, or holds a text that a message cannot carry.
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
		return ""
	}
	return base64.StdEncoding.EncodeToString(encoded)
}

// MergeHeader adds the evidence and the verdicts in a header from another node to a table.
// A header that cannot be decoded, such as one of a newer program, is ignored.
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
