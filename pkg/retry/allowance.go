package retry

import "strconv"

// AttemptsLeftHeader carries an Allowance in a request.
const AttemptsLeftHeader = "Levertide-Attempts-Left"

// Bounds of an Allowance.
const (
	// DefaultAllowance is the allowance of a call whose caller states none.
	DefaultAllowance Allowance = 2
	// MaximumAllowance is the largest value that can be carried.
	MaximumAllowance Allowance = 10
)

// Allowance is how many attempts, beyond the first one at each level, may still be
// made for a call and for all calls made on its behalf.
type Allowance uint8

// ParseAllowance reads the value of AttemptsLeftHeader. It reports false for
// anything but one decimal number; numbers above MaximumAllowance are lowered to
// it.
func ParseAllowance(value string) (Allowance, bool) {
	number, ok := parseDecimal(value)
	if !ok {
		return 0, false
	}
	return Allowance(min(number, uint64(MaximumAllowance))), true
}

// String returns the value of AttemptsLeftHeader.
func (a Allowance) String() string { return strconv.Itoa(int(a)) }

// Share splits an allowance for one attempt into the part that the attempt carries
// to the level below and the part that is kept back. One attempt is kept back when
// the request may be repeated although an attempt may have run, because the level
// below may have spent everything that it was given. Otherwise all is carried: a
// second attempt is made only if the first did not run, and then nothing of what it
// carried was spent.
func (a Allowance) Share(repeatable bool) (carried, kept Allowance) {
	if repeatable && a > 0 {
		return a - 1, 1
	}
	return a, 0
}

// afterNotRun returns the allowance that is left for the next attempt after one
// that did not run. It reports false when none may be made.
func (a Allowance) afterNotRun() (Allowance, bool) {
	if a == 0 {
		return 0, false
	}
	return a - 1, true
}

// afterUnknown returns the allowance that is left for the next attempt after
// one that may have run. It reports false when none may be made.
func (a Allowance) afterUnknown(repeatable bool) (Allowance, bool) {
	if !repeatable || a == 0 {
		return 0, false
	}
	return 0, true
}
