// Command drill plays the scripted cases of the review: it starts the instances as
// separate processes on loopback addresses, with stand-ins for the store, the replicas and
// the callers of the platform's pages, and brings one disruption about.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxTime ends a case that hangs.
const maxTime = 110 * time.Second

// cases maps the name of a case to the function that plays it. It returns what broke the
// rule, or an empty text.
var cases = map[string]func(site *site, isTroubled bool) string{
	"removed":  playRemoved,
	"restored": playRestored,
	"held":     playHeld,
	"refused":  playRefused,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: drill CASE RECORD")
		os.Exit(exitNotRun)
	}
	site := newSite(os.Args[2])
	time.AfterFunc(maxTime, func() { site.fail("the case takes too long") })
	go site.awaitSignal()
	broken := cases[os.Args[1]](site, os.Getenv("TROUBLE") != "0")
	if broken != "" {
		site.record("BROKEN: %s", broken)
	} else {
		site.record("held")
	}
	site.close()
	if broken != "" {
		fmt.Println("broken:", broken)
		os.Exit(exitBroken)
	}
	fmt.Println("held")
	os.Exit(exitHeld)
}

// awaitSignal ends the case, with all that it started, when it is told to stop.
func (site *site) awaitSignal() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	site.fail("stopped by %v", <-stop)
}
