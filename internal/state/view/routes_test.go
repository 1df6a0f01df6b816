package view_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mimosaspring/mimosaspring/internal/state/view"
)

func TestRoutesFind(t *testing.T) {
	routes := view.Routes{
		{Host: "trials.example", Prefix: "/"}:        {Scope: "all"},
		{Host: "trials.example", Prefix: "/burn/"}:   {Scope: "burn"},
		{Host: "trials.example", Prefix: "/burn/x/"}: {Scope: "deep"},
		{Host: "ledger.example", Prefix: "/plots/"}:  {Scope: "plots"},
	}
	tests := map[string]struct {
		host, path string
		want       string
	}{
		"the longest prefix wins":                {host: "trials.example", path: "/burn/x/7", want: "deep"},
		"a shorter one where the rest differs":   {host: "trials.example", path: "/burn/y/7", want: "burn"},
		"a prefix is not a part of a name":       {host: "trials.example", path: "/burning/7", want: "all"},
		"a path without the prefix's last slash": {host: "ledger.example", path: "/plots"},
		"another host":                           {host: "other.example", path: "/burn/7"},
		"a path without a slash":                 {host: "trials.example", path: "*"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			target, isKnown := routes.Find(test.host, test.path)
			assert.Equal(t, target.Scope, test.want)
			assert.Equal(t, isKnown, test.want != "")
		})
	}
}
