// Command standin simulates the platform and the upstreams for tests and
// demonstrations.
package main

import "github.com/mimosaspring/mimosaspring/cmd/standin/cmds"

func main() { cmds.Main() }
