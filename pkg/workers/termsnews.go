package workers

import (
	"strconv"
	"strings"
	"time"
)

const (
	// newsSeparator separates the fields of encoded news: the limit, empty when there is none;
	// leavingText when the worker leaves; and two times in microseconds, Age and NextStart.
	newsSeparator = ","
	newsFields    = 4
	leavingText   = "1"
	// longestNewsTime bounds the times that are told: the parser accepts no longer ones.
	longestNewsTime = 24 * time.Hour
	// longestInterval is the mean time between two requests to a worker that takes none.
	longestInterval = time.Hour
)

// TermsNews are the terms of a worker as one node tells them to another one.
type TermsNews struct {
	Terms Terms
	// Age is how long ago the worker stated them.
	Age time.Duration
	// NextStart is how long another request would wait for the limit; zero when it is not known.
	NextStart time.Duration
}

// TermsChange describes the known terms of a worker after they have changed.
type TermsChange struct {
	Service, Instance string
	Terms             Terms
	// Source is the node that has told the terms; this node when the worker itself has.
	Source string
	// Age is how long ago the worker stated them to the source.
	Age time.Duration
}

// Encode returns the news as the value of a header.
func (n TermsNews) Encode() string {
	leaving := ""
	if n.Terms.Leaving {
		leaving = leavingText
	}
	age, next := min(max(n.Age, 0), longestNewsTime), min(max(n.NextStart, 0), longestNewsTime)
	return strings.Join([]string{
		n.Terms.Limit.String(), leaving, strconv.FormatInt(age.Microseconds(), 10), strconv.FormatInt(next.Microseconds(), 10),
	}, newsSeparator)
}

// ParseTermsNews parses the values of a header; false when they are not those of one that Encode
// has written.
func ParseTermsNews(values []string) (TermsNews, bool) {
	if len(values) != 1 {
		return TermsNews{}, false
	}
	fields := strings.Split(values[0], newsSeparator)
	if len(fields) != newsFields {
		return TermsNews{}, false
	}
	limit, ok := parseToldLimit(fields[0])
	if !ok {
		return TermsNews{}, false
	}
	age, ageErr := strconv.ParseInt(fields[2], 10, 64)
	next, nextErr := strconv.ParseInt(fields[3], 10, 64)
	if ageErr != nil || nextErr != nil || age < 0 || age > longestNewsTime.Microseconds() || next < 0 || next > longestNewsTime.Microseconds() {
		return TermsNews{}, false
	}
	return TermsNews{
		Terms: Terms{Limit: limit, Leaving: fields[1] == leavingText},
		Age:   time.Duration(age) * time.Microsecond, NextStart: time.Duration(next) * time.Microsecond,
	}, true
}

// parseToldLimit parses a limit as String writes it.
func parseToldLimit(text string) (Limit, bool) {
	if text == "" {
		return Limit{}, true
	}
	if len(text) > longestToldLimit {
		return Limit{}, false
	}
	limit, err := parseDecimal(text)
	return limit, err == nil
}

// Interval returns the mean time between two requests that the limit allows; zero when there is no
// limit.
func (l Limit) Interval() time.Duration {
	switch {
	case !l.Set:
		return 0
	case l.PerSecond*longestInterval.Seconds() <= 1:
		return longestInterval
	default:
		return max(time.Duration(float64(time.Second)/l.PerSecond), 1)
	}
}
