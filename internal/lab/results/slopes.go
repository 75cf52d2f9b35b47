package results

// Slopes is what a sweep over sizes measured.
type Slopes struct {
	Points []SlopePoint `json:"points"`
	Fits   []Fit        `json:"fits"`
}

// SlopePoint is one size of a sweep. A nil figure was not measured.
type SlopePoint struct {
	Nodes           int         `json:"nodes"`
	Services        int         `json:"services"`
	ConvergenceP50  *float64    `json:"convergence_p50_ms"`
	ConvergenceMax  *float64    `json:"convergence_max_ms"`
	BytesByRole     RoleSpreads `json:"control_bytes_by_role"`
	CoreShare       *float64    `json:"cpu_core_share_per_node"`
	MemoryBytes     *float64    `json:"memory_bytes_per_node"`
	RealCoreShare   *float64    `json:"real_process_cpu_core_share"`
	RealMemoryBytes *float64    `json:"real_process_memory_bytes"`
	StoreRequests   *float64    `json:"store_requests_per_second"`
	File            string      `json:"file"`
}

// Fit is a least-squares plane through one figure over all points:
// figure = Intercept + PerNode * nodes + PerService * services.
type Fit struct {
	Figure     string  `json:"figure"`
	Role       string  `json:"role,omitempty"`
	Intercept  float64 `json:"intercept"`
	PerNode    float64 `json:"per_node"`
	PerService float64 `json:"per_service"`
	// Residual is the root mean square of what the fit leaves over.
	Residual float64 `json:"residual"`
	Points   int     `json:"points"`
}
