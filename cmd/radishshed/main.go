// The radishshed program is a router fleet for prepaid token budgets.
package main

import (
	"os"

	"radishshed.example/radishshed/internal/commander"
)

func main() {
	os.Exit(commander.Run(os.Args[1:]))
}
