package results

// Experiment holds the figures measured in a run of real processes.
type Experiment struct {
	Experiment string `json:"experiment"`
	Seed       uint64 `json:"seed"`
	Nodes      int    `json:"nodes"`
	Workers    int    `json:"workers"`
	// Versions lists the committed versions in order.
	Versions []Version `json:"versions"`
	// Convergence is over the committed versions: from the start of the apply
	// until the last live node had the version in force.
	Convergence *Quantiles `json:"convergence_ms"`
	// ControlBytes is over nodes, averaged over the whole run.
	ControlBytes      *Spread      `json:"control_bytes_per_node_per_second"`
	ControlBytesTotal *float64     `json:"control_bytes_total"`
	StoreReaders      *int         `json:"store_readers"`
	StoreRequests     *float64     `json:"store_requests_per_second"`
	Calls             *int         `json:"calls"`
	Answered          *int         `json:"answered"`
	NotRun            *int         `json:"not_run"`
	Unknown           *int         `json:"unknown"`
	WrongAnswers      *int         `json:"wrong_answers"`
	Duplicates        *int         `json:"duplicate_executions"`
	Violations        *int         `json:"violations"`
	Checks            []Check      `json:"checks"`
	Seconds           []CallSecond `json:"seconds"`
	Marks             []Mark       `json:"marks"`
	Notices           []string     `json:"notices"`
}

// Version is one committed version and how it came into force.
type Version struct {
	Number uint64 `json:"number"`
	Step   string `json:"step"`
	// Milliseconds is from the start of the apply until the last live node had
	// it in force; nil when some node did not reach it.
	Milliseconds *float64 `json:"milliseconds"`
	// CommitMilliseconds is the part of it after the commit.
	CommitMilliseconds *float64 `json:"commit_milliseconds"`
	Nodes              int      `json:"nodes"`
}

// Check is one condition that a run had to meet.
type Check struct {
	Name   string `json:"name"`
	Held   bool   `json:"held"`
	Detail string `json:"detail"`
}

// CallSecond counts the calls that ended in one second.
type CallSecond struct {
	Second   int     `json:"second"`
	Answered int     `json:"answered"`
	NotRun   int     `json:"not_run"`
	Unknown  int     `json:"unknown"`
	Wrong    int     `json:"wrong"`
	P99      float64 `json:"p99_ms"`
}

// Mark names a moment of a run.
type Mark struct {
	Second float64 `json:"second"`
	Name   string  `json:"name"`
}

// Held reports whether every check held.
func (e *Experiment) Held() bool {
	for _, check := range e.Checks {
		if !check.Held {
			return false
		}
	}
	return true
}
