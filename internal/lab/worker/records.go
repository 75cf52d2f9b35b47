package worker

import "sync"

// Record counts how a worker handled one request.
type Record struct {
	ID string `json:"id"`
	// Started counts how often the request was admitted, Executed how often it
	// ran to its end with its complete body.
	Started  int `json:"started"`
	Executed int `json:"executed"`
}

// Totals are counts over all requests of a worker.
type Totals struct {
	Started      int `json:"started"`
	Executed     int `json:"executed"`
	Truncated    int `json:"truncated"`
	Canceled     int `json:"canceled"`
	Refused      int `json:"refused"`
	RefusedDrain int `json:"refused_drain"`
	Faults       int `json:"faults"`
	PeakRunning  int `json:"peak_running"`
	// ClosedConnections counts connections closed because of the connection limit.
	ClosedConnections int `json:"closed_connections"`
}

// recorder holds the records of a worker.
type recorder struct {
	mutex   sync.Mutex
	forget  bool
	records map[string]*Record
	totals  Totals
}

func newRecorder(forget bool) *recorder {
	return &recorder{forget: forget, records: make(map[string]*Record)}
}

// count applies a change to the totals.
func (r *recorder) count(change func(*Totals)) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	change(&r.totals)
}

func (r *recorder) started(id string, running int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.totals.Started++
	r.totals.PeakRunning = max(r.totals.PeakRunning, running)
	if record := r.record(id); record != nil {
		record.Started++
	}
}

func (r *recorder) executed(id string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.totals.Executed++
	if record := r.record(id); record != nil {
		record.Executed++
	}
}

func (r *recorder) record(id string) *Record {
	if r.forget || id == "" {
		return nil
	}
	record, ok := r.records[id]
	if !ok {
		record = &Record{ID: id}
		r.records[id] = record
	}
	return record
}

func (r *recorder) snapshot() ([]Record, Totals) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	records := make([]Record, 0, len(r.records))
	for _, record := range r.records {
		records = append(records, *record)
	}
	return records, r.totals
}

func (r *recorder) reset() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	clear(r.records)
	r.totals = Totals{}
}
