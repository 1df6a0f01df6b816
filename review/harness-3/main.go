// Command harness-3 plays the cases of the third review against the real processes.
package main

import (
	"fmt"
	"os"
	"time"
)

var cases = map[string]func(folder string, record *record, isTrouble bool) (bool, error){
	"recover": recoverCase,
	"memory":  memoryCase,
	"config":  configCase,
	"routes":  routesCase,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness-3 CASE RECORD")
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
	isBroken, err := play(folder, record, os.Getenv("TROUBLE") != "0")
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
