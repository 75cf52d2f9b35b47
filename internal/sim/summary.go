package sim

// Summary counts what the world has done, to see that a run exercised it.
type Summary struct {
	Applies     int `json:"applies"`
	Committed   int `json:"committed"`
	Aborted     int `json:"aborted"`
	Activations int `json:"activations"`
	Requests    int `json:"requests"`
	Answered    int `json:"answered"`
	NotRun      int `json:"not_run"`
	Unknown     int `json:"unknown"`
	Alarms      int `json:"alarms"`
	// Forgotten counts nodes restarted below what they had run, after the
	// platform had lost that version; see the oracle.
	Forgotten int `json:"forgotten"`
}

// Summary returns the counts so far.
func (w *World) Summary() Summary {
	summary := w.oracle.summary
	summary.Applies = w.applies.number
	summary.Requests = w.callers.number
	summary.Alarms = w.oracle.alarms
	summary.Forgotten = w.oracle.forgotten
	return summary
}
