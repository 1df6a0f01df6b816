// Command harness-3 plays the cases of the third review against the real processes.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

var cases = map[string]func(folder string, record *record, isTrouble bool) (bool, error){
	"recover": recoverCase,
	"memory":  memoryCase,
	"config":  configCase,
	"routes":  routesCase,
}

func main() { os.Exit(run()) }

// maxTime is how long a case may take.
const maxTime = 115 * time.Second

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness-3 CASE RECORD TROUBLE")
		return 2
	}
	play := cases[os.Args[1]]
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer file.Close()
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(folder)
	record := &record{file: file, start: time.Now()}
	go watch(record, folder)
	isBroken, err := play(folder, record, os.Args[3] != "0")
	switch {
	case err != nil:
		record.log("the case could not run: %v", err)
		return 2
	case isBroken:
		record.log("the rule was broken")
		return 1
	}
	record.log("the rule held")
	return 0
}

// watch ends a case that takes too long or gets a signal. The processes that it has started
// end with it.
func watch(record *record, folder string) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	select {
	case received := <-signals:
		record.log("the case could not run: %v", received)
	case <-time.After(maxTime):
		record.log("the case could not run: it takes over %s", maxTime)
	}
	_ = os.RemoveAll(folder)
	os.Exit(2)
}
