// Command mimosaspring is a query tier over many shards.
package main

import "github.com/mimosaspring/mimosaspring/cmd/mimosaspring/cmds"

func main() { cmds.Main() }
