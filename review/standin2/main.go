// Command standin2 plays the cases of the second review that are scripts: it runs hosts as
// separate processes, with stand-ins of the store, the endpoints and the clients.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitBroken = 1
	exitNotRun = 2
	// mostTime bounds a case.
	mostTime = 115 * time.Second
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD")
		os.Exit(exitNotRun)
	}
	plays := map[string]func(d *deployment, hasTrouble bool) (bool, error){
		"gone": playGone, "lost": playLost, "cold-outage": playColdOutage, "crowd": playCrowd, "memory": playMemory, "fields": playFields, "limit": playLimit, "removal": playRemoval,
	}
	play, exists := plays[os.Args[1]]
	if !exists {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		os.Exit(exitNotRun)
	}
	held, err := run(play, os.Getenv("TROUBLE") != "0", os.Args[2])
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(exitNotRun)
	case !held:
		fmt.Println("the rule was broken")
		os.Exit(exitBroken)
	}
	fmt.Println("the rule held")
}

// run plays a case and ends all processes.
func run(play func(d *deployment, hasTrouble bool) (bool, error), hasTrouble bool, recordPath string) (bool, error) {
	d, err := newDeployment()
	if err != nil {
		return false, err
	}
	go endLate(d)
	held, err := play(d, hasTrouble)
	return held, errors.Join(err, d.close(recordPath))
}

// endLate ends all processes after a signal, or if the case takes too long.
func endLate(d *deployment) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	select {
	case <-signals:
	case <-time.After(mostTime):
	}
	d.killHosts()
	os.Exit(exitNotRun)
}
