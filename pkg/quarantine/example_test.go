package quarantine_test

import (
	"fmt"
	"time"

	"github.com/levertide/levertide/pkg/quarantine"
)

// A request crashes one worker after the other. Two nodes exchange their reports.
func ExampleTable() {
	here, there := quarantine.New(quarantine.Options{}), quarantine.New(quarantine.Options{})
	request := quarantine.Request{Method: "GET", Host: "mesh.example", Target: "/report?year=0"}.Fingerprint()
	now := time.Now()
	for _, worker := range []string{"worker-1", "worker-2", "worker-3"} {
		level, _ := here.Level(request, now)
		report, found := here.Crashed(request, worker, level, now)
		there.Merge([]quarantine.Report{report}, now)
		fmt.Println(worker, "ended; level", report.Level, "quarantined", found)
		now = now.Add(time.Second)
	}
	_, refused := there.Level(request, now)
	fmt.Println("refused at the other node:", refused)
	// Output:
	// worker-1 ended; level 1 quarantined false
	// worker-2 ended; level 2 quarantined false
	// worker-3 ended; level 3 quarantined true
	// refused at the other node: true
}
