package forwarding

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/levertide/levertide/pkg/outcome"
	"github.com/levertide/levertide/pkg/slotqueue"
	"github.com/levertide/levertide/pkg/workers"
)

// The headers between nodes.
const (
	// hopHeader carries the encoded hop from the node where a call began.
	hopHeader = "Levertide-Hop"
	// hopLoadHeader carries the load of the worker's node back.
	hopLoadHeader = "Levertide-Hop-Load"
	// hopFailureHeader carries the reason of a call that got no answer.
	hopFailureHeader = "Levertide-Hop-Failure"

	// workHeader carries the expected work of a call and the time until its answer is due where
	// the hop does not: nodes that do not know the header accept any hop.
	workHeader = "Levertide-Hop-Work"

	// hopFields is the number of fields of a hop. Newer nodes add, in this order: the number of
	// crashes that the request is known to have caused, the start time of the worker's
	// incarnation if it is known, the expected work with the time until the answer is due, and
	// for a worker that reports its slowness how slow it may be. Each constant is the number of
	// fields up to and including that one.
	hopFields          = 6
	hopFieldsLevel     = 7
	hopFieldsStartedAt = 8
	hopFieldsWork      = 10
	hopFieldsSlowest   = 11
	// loadFields is the number of fields of a load. Newer nodes add the slowness of a worker that
	// reports it.
	loadFields         = 7
	loadFieldsSlowness = 8
	// slownessUnits is the scale in which the slowness of a worker is written: hundredths.
	slownessUnits = 100
	// failingUnits is the scale in which the share of failing requests is written: thousandths.
	failingUnits = 1000
	// failureFields counts the reason and the retry time. Newer nodes add how long they held the
	// call.
	failureFields     = 2
	failureFieldsHeld = 3
	hopSeparator      = ","
)

// hop is the information that the node where a call began sends to the worker's node.
type hop struct {
	// service and incarnation identify the worker.
	service     string
	incarnation workers.Incarnation
	// caller is the service of the node where the call began.
	caller string
	rank   int
	// waitLimit is how long the call may wait for a slot, left the time until its end.
	waitLimit, left time.Duration
	// level is how many worker crashes the request has caused as far as the node where the call
	// began knows.
	level int
	// work is how long the call is expected to take at a worker of usual speed, due how long its
	// answer keeps its full value; both zero when the other node does not send them.
	work, due time.Duration
	// slowest is the slowness of the worker beyond which another one is expected to answer
	// sooner; zero when the other node does not send it.
	slowest float64
}

// claim returns the call's claim at this node, given the time at which it arrived here.
func (h hop) claim(arrivedAt time.Time) claim {
	wanted := claim{rank: h.rank, work: h.work, latestStart: arrivedAt.Add(h.waitLimit)}
	if h.due > 0 {
		wanted.due = arrivedAt.Add(h.due)
	}
	return wanted
}

func (h hop) encode() string {
	fields := []string{
		h.service, h.incarnation.Instance, h.caller, strconv.Itoa(h.rank), formatMicroseconds(h.waitLimit), formatMicroseconds(h.left),
		strconv.Itoa(h.level),
	}
	if h.incarnation.StartedAt != 0 || h.work != 0 {
		fields = append(fields, strconv.FormatInt(h.incarnation.StartedAt, 10))
	}
	if h.work != 0 {
		fields = append(fields, formatMicroseconds(h.work), formatMicroseconds(h.due))
	}
	if h.work != 0 && h.slowest > 0 {
		fields = append(fields, formatSlowness(h.slowest))
	}
	return strings.Join(fields, hopSeparator)
}

func parseHop(text string) (hop, bool) {
	fields := strings.Split(text, hopSeparator)
	if len(fields) < hopFields || len(fields) > hopFieldsSlowest || len(fields) == hopFieldsStartedAt+1 {
		return hop{}, false
	}
	rank, rankErr := strconv.Atoi(fields[3])
	waitLimit, waitLimitOK := parseMicroseconds(fields[4])
	left, leftOK := parseMicroseconds(fields[5])
	parsed := hop{service: fields[0], incarnation: workers.Incarnation{Instance: fields[1]}, caller: fields[2], rank: rank, waitLimit: waitLimit, left: left}
	var levelErr, startedAtErr error
	if len(fields) >= hopFieldsLevel {
		parsed.level, levelErr = strconv.Atoi(fields[hopFieldsLevel-1])
	}
	if len(fields) >= hopFieldsStartedAt {
		parsed.incarnation.StartedAt, startedAtErr = strconv.ParseInt(fields[hopFieldsStartedAt-1], 10, 64)
	}
	workOK, dueOK := true, true
	if len(fields) >= hopFieldsWork {
		parsed.work, workOK = parseMicroseconds(fields[hopFieldsWork-2])
		parsed.due, dueOK = parseMicroseconds(fields[hopFieldsWork-1])
	}
	slowestOK := true
	if len(fields) == hopFieldsSlowest {
		parsed.slowest, slowestOK = parseSlowness(fields[hopFieldsSlowest-1])
	}
	return parsed, slowestOK && rankErr == nil && waitLimitOK && leftOK && levelErr == nil && startedAtErr == nil && workOK && dueOK
}

// formatWork encodes the expected work of a call and the time until its answer is due.
func formatWork(work, due time.Duration) string {
	return formatMicroseconds(work) + hopSeparator + formatMicroseconds(due)
}

// readWork sets the fields written by formatWork. Invalid text is ignored.
func (h *hop) readWork(text string) {
	first, second, _ := strings.Cut(text, hopSeparator)
	work, workOK := parseMicroseconds(first)
	due, dueOK := parseMicroseconds(second)
	if workOK && dueOK && work > 0 && due > 0 {
		h.work, h.due = work, due
	}
}

// formatLoad encodes the load of a worker's node, and how long the worker ran the call that is
// being answered.
func formatLoad(load slotqueue.Load, ran time.Duration) string {
	fields := []string{
		strconv.Itoa(load.Running), strconv.Itoa(load.Waiting), strconv.Itoa(load.Slots),
		formatMicroseconds(load.Hold), formatMicroseconds(ran), formatMicroseconds(load.Transfer),
		strconv.Itoa(int(failingUnits * load.Failing)),
	}
	if load.Slowness > 0 {
		fields = append(fields, formatSlowness(load.Slowness))
	}
	return strings.Join(fields, hopSeparator)
}

func parseLoad(text string) (load slotqueue.Load, ran time.Duration, ok bool) {
	fields := strings.Split(text, hopSeparator)
	if len(fields) != loadFields && len(fields) != loadFieldsSlowness {
		return slotqueue.Load{}, 0, false
	}
	running, runningOK := parseCount(fields[0])
	waiting, waitingOK := parseCount(fields[1])
	slots, slotsOK := parseCount(fields[2])
	hold, holdOK := parseMicroseconds(fields[3])
	ran, ranOK := parseMicroseconds(fields[4])
	transfer, transferOK := parseMicroseconds(fields[5])
	failing, failingErr := strconv.Atoi(fields[6])
	slowness, slownessOK := 0.0, true
	if len(fields) == loadFieldsSlowness {
		slowness, slownessOK = parseSlowness(fields[loadFieldsSlowness-1])
	}
	load = slotqueue.Load{
		Running: running, Waiting: waiting, Slots: slots, Hold: hold,
		Transfer: transfer, Failing: float64(failing) / failingUnits, Slowness: slowness,
	}
	ok = runningOK && waitingOK && slotsOK && failingErr == nil && slownessOK && holdOK && ranOK && transferOK && slots > 0
	return load, ran, ok
}

// formatFailure encodes why a call got no answer, and how long this node held it.
func formatFailure(err error, held time.Duration) string {
	return strings.Join([]string{
		string(outcome.ReasonOf(err)), formatMicroseconds(outcome.RetryAfterOf(err)), formatMicroseconds(held),
	}, hopSeparator)
}

// parseFailure returns the failure that another node reported. One that cannot be parsed has the
// outcome unknown, which is always safe.
func parseFailure(text string) error {
	fields := strings.Split(text, hopSeparator)
	if len(fields) != failureFields && len(fields) != failureFieldsHeld || !outcome.Reason(fields[0]).Known() {
		return outcome.New(outcome.NotSpecified)
	}
	wait, _ := parseMicroseconds(fields[1])
	return outcome.WithRetryAfter(outcome.Reason(fields[0]), wait)
}

// heldOf returns how long another node held a call that it has refused; zero when the node does
// not report it.
func heldOf(failure string) time.Duration {
	fields := strings.Split(failure, hopSeparator)
	if len(fields) != failureFieldsHeld {
		return 0
	}
	held, _ := parseMicroseconds(fields[failureFieldsHeld-1])
	return max(held, 0)
}

func formatSlowness(slowness float64) string {
	return strconv.Itoa(int(math.Round(slownessUnits * slowness)))
}

func parseSlowness(text string) (float64, bool) {
	hundredths, err := strconv.Atoi(text)
	return float64(hundredths) / slownessUnits, err == nil && hundredths > 0
}

func formatMicroseconds(duration time.Duration) string {
	return strconv.FormatInt(duration.Microseconds(), 10)
}

// Bounds of what another node tells. Calls last no longer, no queue is longer, and the product of both
// does not overflow.
const (
	longestReportedTime  = time.Hour
	maximumReportedCount = 1 << 20
)

// parseCount parses a number of calls or slots.
func parseCount(text string) (int, bool) {
	number, err := strconv.Atoi(text)
	return number, err == nil && number >= 0 && number <= maximumReportedCount
}

// parseMicroseconds parses a time, at most longestReportedTime in either direction.
func parseMicroseconds(text string) (time.Duration, bool) {
	number, err := strconv.ParseInt(text, 10, 64)
	longest := longestReportedTime.Microseconds()
	return time.Duration(min(max(number, -longest), longest)) * time.Microsecond, err == nil
}
