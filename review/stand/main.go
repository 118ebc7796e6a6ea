// Command stand runs the stand-ins of the cases in review: a store, workers and callers, around real
// entry hosts.
//
// # Usage
//
//	stand worker -listen ADDR -id ID   # one worker, until it is killed
//	stand board -listen ADDR -id ID    # one worker of a plain service, until it is killed
//	stand lines -record FILE           # the case review/2
//	stand probe -record FILE           # the case review/1
//	stand bodies -record FILE          # the case review/3
//
// The program of the entry host is target/verbenadale below the working directory. A case exits with
// 1 if the rule was broken, 0 if it held and 2 if it could not run.
package main

import (
	"cmp"
	"flag"
	"fmt"
	"os"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: stand worker|board|lines|probe|bodies [flags]")
		os.Exit(exitFailed)
	}
	fs := flag.NewFlagSet(os.Args[1], flag.ExitOnError)
	listen := fs.String("listen", "", "address of the worker")
	id := fs.String("id", "", "id of the worker")
	work := fs.Duration("work", 0, "how long a call takes at a worker of a plain service")
	slots := fs.Int("slots", boardSlots, "slots of a worker of a plain service")
	record := fs.String("record", "record.txt", "file for the record")
	_ = fs.Parse(os.Args[2:])
	switch os.Args[1] {
	case "worker":
		fmt.Fprintln(os.Stderr, runWorker(*listen, *id))
		os.Exit(exitFailed)
	case "board":
		fmt.Fprintln(os.Stderr, runBoard(*listen, *id, cmp.Or(*work, boardWork), *slots))
		os.Exit(exitFailed)
	case "bodies":
		os.Exit(runBodies(*record, os.Getenv("TROUBLE") != "0"))
	case "probe":
		os.Exit(runProbe(*record, os.Getenv("TROUBLE") != "0"))
	case "lines":
		os.Exit(runLines(*record, os.Getenv("TROUBLE") != "0"))
	}
	os.Exit(exitFailed)
}
