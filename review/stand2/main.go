// Command stand2 runs the stand-ins of the second review: a store, workers, callers and the network
// between real entry hosts.
//
// # Usage
//
//	stand2 quota -record FILE   # the case review/7
//
// The program of the entry host is target/verbenadale below the working directory. A case exits with
// 1 if the rule was broken, 0 if it held and 2 if it could not run. TROUBLE=0 leaves out the disruption.
package main

import (
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
	if len(os.Args) < 2 || os.Args[1] != "quota" {
		fmt.Fprintln(os.Stderr, "usage: stand2 quota [flags]")
		os.Exit(exitFailed)
	}
	fs := flag.NewFlagSet(os.Args[1], flag.ExitOnError)
	file := fs.String("record", "record.txt", "file for the record")
	_ = fs.Parse(os.Args[2:])
	os.Exit(runQuota(*file, os.Getenv("TROUBLE") != "0"))
}
