package sim

// Summary counts what has happened in a world. It shows whether a run exercised the
// system.
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
	// Forgotten counts nodes that restarted below a version that they had run, because
	// a restore of the store has lost that version; see oracle.recovered.
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
