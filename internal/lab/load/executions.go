package load

import "github.com/levertide/levertide/internal/lab/worker"

// executions counts how often each request was started, by its identifier, over all workers, so
// that a request that ran on two workers counts as a duplicate.
type executions map[string]int

// executionsOf collects the records of workers.
func executionsOf(workers []*worker.Worker) executions {
	seen := executions{}
	seen.collect(workers...)
	return seen
}

// collect adds the records of the workers and clears them there.
func (e executions) collect(workers ...*worker.Worker) {
	for _, w := range workers {
		records, _ := w.Records()
		for _, record := range records {
			e[record.ID] += record.Started
		}
		w.ResetRecords()
	}
}

// duplicates counts the unrepeatable requests that were started more than once.
func (e executions) duplicates(unrepeatable func(id string) bool) int {
	count := 0
	for id, started := range e {
		if started > 1 && unrepeatable(id) {
			count++
		}
	}
	return count
}

// total returns the number of starts of all requests.
func (e executions) total() int {
	sum := 0
	for _, started := range e {
		sum += started
	}
	return sum
}
