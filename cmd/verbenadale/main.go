// Verbenadale is the daemon of an entry host.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"verbenadale.example/verbenadale/internal/cmds"
	"verbenadale.example/verbenadale/platform"
)

func main() {
	cmds.Register(subcommands.DefaultCommander)
	subcommands.DefaultCommander.Register(&platform.Command{}, "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
