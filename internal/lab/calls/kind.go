package calls

// Result is the result of a call as its caller sees it.
type Result uint8

// The results.
const (
	// ResultAnswered: the complete and correct answer was received.
	ResultAnswered Result = iota
	// ResultNotRun: the answer reported that the call did not run, or no node
	// accepted the connection.
	ResultNotRun
	// ResultUnknown: the answer reported an unknown outcome, or the connection broke.
	ResultUnknown
	// ResultWrong: the answer received is not the one of this call.
	ResultWrong
)

// callOutcome is the result of one call that has ended.
type callOutcome struct {
	id         string
	repeatable bool
	result     Result
}

// Detail explains why the answer to one call was wrong.
type Detail struct {
	ID     string
	Reason string
}

// Totals counts calls by result.
type Totals struct {
	Calls    int
	Answered int
	NotRun   int
	Unknown  int
	Wrong    int
}

// add counts one call.
func (t *Totals) add(result Result) {
	t.Calls++
	switch result {
	case ResultAnswered:
		t.Answered++
	case ResultNotRun:
		t.NotRun++
	case ResultUnknown:
		t.Unknown++
	case ResultWrong:
		t.Wrong++
	}
}
