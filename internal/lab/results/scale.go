package results

// Budgets that the report draws beside what was measured, for each node.
const (
	// BudgetBytesPerSecond is in bytes a second, both directions together.
	BudgetBytesPerSecond = 8 * 1024
	// BudgetCoreShare is the share of one processor core.
	BudgetCoreShare = 0.034
	// BudgetMemoryBytes is resident memory.
	BudgetMemoryBytes = 256 << 20
	// BudgetConvergenceMilliseconds is from acceptance to in force everywhere.
	BudgetConvergenceMilliseconds = 4000
)

// Scale is what a scale run measured.
type Scale struct {
	Nodes         int `json:"nodes"`
	Zones         int `json:"zones"`
	Regions       int `json:"regions"`
	Services      int `json:"services"`
	RealProcesses int `json:"real_processes"`
	HollowNodes   int `json:"hollow_nodes"`
	Changes       int `json:"changes"`
	// Convergence is from the start of the apply until the last
	// live node had the version in force, in the quiet phase.
	Convergence *Quantiles `json:"convergence_ms"`
	// ControlBytes is over all windows of all nodes in the quiet phase, both
	// directions together, HTTP and estimated TCP/IP headers included.
	ControlBytes          *Spread     `json:"control_bytes_per_node_per_second"`
	StoreReaders          *int        `json:"store_readers"`
	StoreRequests         *float64    `json:"store_requests_per_second"`
	CoreSharePerNode      *float64    `json:"cpu_core_share_per_node"`
	MemoryBytesPerNode    *float64    `json:"memory_bytes_per_node"`
	Violations            *int        `json:"violations"`
	ControlBytesByRole    RoleSpreads `json:"control_bytes_by_role"`
	WindowSeconds         int         `json:"window_seconds"`
	CommitToInForce       *Quantiles  `json:"commit_to_in_force_ms"`
	ProposeToCommit       *Quantiles  `json:"propose_to_commit_ms"`
	RealMemoryBytes       *float64    `json:"real_process_memory_bytes"`
	RealCoreShare         *float64    `json:"real_process_cpu_core_share"`
	TotalMemoryBytes      *float64    `json:"total_memory_bytes"`
	Processes             int         `json:"processes"`
	Seed                  uint64      `json:"seed"`
	ChangeIntervalSeconds float64     `json:"change_interval_seconds"`
	Phases                []Phase     `json:"phases"`
	Seconds               []Second    `json:"seconds"`
	ConvergenceSamples    []float64   `json:"convergence_samples_ms"`
	Baselines             []Baseline  `json:"baselines"`
	ViolationDetails      []string    `json:"violation_details"`
	Notes                 []string    `json:"notes"`
}

// Phase is one part of a scale run: the quiet phase or one herd.
type Phase struct {
	Name            string  `json:"name"`
	StartSecond     float64 `json:"start_second"`
	DurationSeconds float64 `json:"duration_seconds"`
	// Affected is how many nodes died, were cut off or were replaced.
	Affected int `json:"affected_nodes"`
	// RecoverySeconds is from the end of the fault until every live node had
	// the newest version in force and was ready.
	RecoverySeconds *float64 `json:"recovery_seconds"`
	// Convergence is of the changes applied during the phase, over the nodes
	// that were live and reachable all along.
	Convergence        *Quantiles  `json:"convergence_ms"`
	ControlBytes       *Spread     `json:"control_bytes_per_node_per_second"`
	ControlBytesByRole RoleSpreads `json:"control_bytes_by_role"`
	// Heaviest lists the nodes that moved most in one window.
	Heaviest      []HeavyNode `json:"heaviest_nodes"`
	WindowSeconds int         `json:"window_seconds"`
	StoreReaders  *int        `json:"store_readers"`
	StoreRequests *float64    `json:"store_requests_per_second"`
	Applied       int         `json:"changes_applied"`
	Failed        int         `json:"changes_failed"`
	Note          string      `json:"note,omitempty"`
}

// HeavyNode is a node that moved many control bytes, in its heaviest window.
type HeavyNode struct {
	Node           string  `json:"node"`
	Role           string  `json:"role"`
	BytesPerSecond float64 `json:"bytes_per_second"`
	StartSecond    float64 `json:"start_second"`
}

// Second is one second of a run.
type Second struct {
	Second    int     `json:"second"`
	Phase     string  `json:"phase"`
	MeanBytes float64 `json:"mean_bytes"`
	P99Bytes  float64 `json:"p99_bytes"`
	MaxBytes  float64 `json:"max_bytes"`
}

// Baseline is another way to distribute the same changes to the same nodes.
type Baseline struct {
	Name          string     `json:"name"`
	Convergence   *Quantiles `json:"convergence_ms"`
	ControlBytes  *Spread    `json:"control_bytes_per_node_per_second"`
	StoreRequests *float64   `json:"store_requests_per_second"`
	// ConvergenceRatio and ControlBytesRatio are the product's figure divided
	// by the baseline's: below one, the product does better.
	ConvergenceRatio  *float64 `json:"convergence_ratio"`
	ControlBytesRatio *float64 `json:"control_bytes_ratio"`
	HubBytes          *float64 `json:"hub_bytes_per_second"`
	Note              string   `json:"note,omitempty"`
}
