// Verbdev runs simulated services and test tools for development.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"verbenadale.example/verbenadale/internal/dev/cmds"
)

func main() {
	cmds.Register(subcommands.DefaultCommander)
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
