package results

// Load holds the figures measured in a load run, as "levertide-lab load --json" writes it.
type Load struct {
	Calls          *int       `json:"calls"`
	CallsPerSecond *float64   `json:"calls_per_second"`
	Direct         *Quantiles `json:"direct_ms"`
	Through        *Quantiles `json:"through_ms"`
	Added          *Quantiles `json:"added_ms"`
	NotRun         *int       `json:"not_run"`
	Unknown        *int       `json:"unknown"`
	WrongAnswers   *int       `json:"wrong_answers"`
	Duplicates     *int       `json:"duplicate_executions"`
}

// Fuzz holds the seed and the length of a fuzz run, as "levertide-lab fuzz --json" writes it.
type Fuzz struct {
	Seed  uint64 `json:"seed"`
	Steps int    `json:"steps"`
}
