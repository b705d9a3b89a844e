// Command review2 plays the cases of the second review that cannot be put as a day of the bench.
package main

import (
	"fmt"
	"os"
)

// main plays one case. The environment holds the folder of the case (CASE), the program of the entry hosts (PROGRAM), a temporary
// folder (WORK) and whether the disruption happens (TROUBLE).
func main() {
	cases := map[string]func(trouble bool) bool{"memory": playMemory, "drill-evacuation": playDrillEvacuation, "drill-key": playDrillKey, "foreign-entry": playForeignEntry, "shadow": playShadow, "tokens": playTokens}
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE")
		os.Exit(2)
	}
	held := cases[os.Args[1]](os.Getenv("TROUBLE") != "0")
	running.end()
	if !held {
		running.record.print("the rule was broken")
		os.Exit(1)
	}
	running.record.print("the rule held")
}
