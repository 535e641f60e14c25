// Command radishshed runs the routers and control VMs of a fleet that enforces
// prepaid token budgets.
package main

import (
	"os"

	"radishshed.example/radishshed/internal/commandrunner"
)

func main() {
	os.Exit(commandrunner.Run(os.Args[1:]))
}
