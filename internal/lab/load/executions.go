package load

import "github.com/levertide/levertide/internal/lab/worker"

// executions merges the records of workers, so that a request that ran on two
// of them shows as well.
type executions map[string]int

// executionsOf takes the records of workers.
func executionsOf(workers []*worker.Worker) executions {
	seen := executions{}
	seen.take(workers...)
	return seen
}

// take adds the records of a worker and forgets them there.
func (e executions) take(workers ...*worker.Worker) {
	for _, w := range workers {
		records, _ := w.Records()
		for _, record := range records {
			e[record.ID] += record.Started
		}
		w.ResetRecords()
	}
}

// duplicates counts requests that were started more than once and must not be.
func (e executions) duplicates(unrepeatable func(id string) bool) int {
	count := 0
	for id, started := range e {
		if started > 1 && unrepeatable(id) {
			count++
		}
	}
	return count
}

// total returns how often requests were started.
func (e executions) total() int {
	sum := 0
	for _, started := range e {
		sum += started
	}
	return sum
}
