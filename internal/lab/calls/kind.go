package calls

// Result is how a call came out for its caller.
type Result uint8

// The results.
const (
	// ResultAnswered: the whole and right answer came.
	ResultAnswered Result = iota
	// ResultNotRun: the caller was told that the call did not run, or no node
	// took the connection.
	ResultNotRun
	// ResultUnknown: the caller was told so, or the connection broke.
	ResultUnknown
	// ResultWrong: an answer came that is not the one of this call.
	ResultWrong
)

// outcomeOf is what became of one call.
type outcomeOf struct {
	id         string
	repeatable bool
	result     Result
}

// Detail says what was wrong with one call.
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
