// Verbctl is the operators' client of verbenadale.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"verbenadale.example/verbenadale/internal/opctl"
)

func main() {
	opts := &opctl.Options{Out: os.Stdout}
	flag.StringVar(&opts.URL, "entry", os.Getenv("VERBCTL_ENTRY"), "URL of the operators' API of an entry host, as http://HOST:PORT")
	flag.StringVar(&opts.Token, "token", os.Getenv("VERBCTL_TOKEN"), "the operator's token")
	flag.BoolVar(&opts.JSON, "json", false, "print JSON instead of tables")
	opctl.Register(subcommands.DefaultCommander, opts)
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
