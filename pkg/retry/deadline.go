package retry

import (
	"strconv"
	"time"
)

// DeadlineHeader carries the remaining time of a request, in milliseconds.
const DeadlineHeader = "Levertide-Deadline-Ms"

// MaximumDeadline is the longest time that can be carried.
const MaximumDeadline = 24 * time.Hour

// ParseDeadline returns the remaining time in the value of DeadlineHeader. It
// reports false for anything but one decimal number; longer times than
// MaximumDeadline are lowered to it.
func ParseDeadline(value string) (time.Duration, bool) {
	number, ok := parseDecimal(value)
	if !ok {
		return 0, false
	}
	limit := uint64(MaximumDeadline / time.Millisecond)
	return time.Duration(min(number, limit)) * time.Millisecond, true
}

// FormatDeadline returns the value of DeadlineHeader, in whole milliseconds
// rounded down, so that a level below never has more time than its caller.
func FormatDeadline(left time.Duration) string {
	milliseconds := max(left, 0) / time.Millisecond
	return strconv.FormatInt(int64(milliseconds), 10)
}

// maximumDigits bounds the length of numbers in headers, well below overflow.
const maximumDigits = 12

func parseDecimal(value string) (uint64, bool) {
	if value == "" || len(value) > maximumDigits {
		return 0, false
	}
	var number uint64
	for i := range len(value) {
		digit := value[i] - '0'
		if digit > 9 {
			return 0, false
		}
		number = number*10 + uint64(digit)
	}
	return number, true
}
