// Command standin plays the cases of the review that can't be put as a day of the bench: it is store,
// operator, workers and clients, and starts the system's nodes as separate processes. It exits with 1
// if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// cases are the cases by name. Each returns how often the rule was broken.
var cases = map[string]func(*lab) (int, error){
	"route":   routeCase,
	"caller":  callerCase,
	"readers": readersCase,
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "standin CASE ROOT FOLDER")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

func play(name, root, folder string) int {
	content, err := os.ReadFile(filepath.Join(root, "review", "standin", "names.json"))
	if err == nil {
		err = json.Unmarshal(content, &names)
	}
	played, known := cases[name]
	if err != nil || !known {
		fmt.Println("can't run:", name, err)
		return 2
	}
	l, err := newLab(root, folder)
	if err != nil {
		fmt.Println("can't run:", err)
		return 2
	}
	defer l.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stopped
		l.close()
		os.Exit(2)
	}()
	broken, err := played(l)
	switch {
	case err != nil:
		l.note("couldn't run: %v", err)
		fmt.Println("couldn't run:", err)
		return 2
	case broken > 0:
		l.note("BROKEN: %d times", broken)
		fmt.Println("rule broken", broken, "times")
		return 1
	}
	l.note("held")
	fmt.Println("rule held")
	return 0
}
