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
		"longest of several matching prefixes":            {host: "trials.example", path: "/burn/x/7", want: "deep"},
		"shorter prefix where the longest does not match": {host: "trials.example", path: "/burn/y/7", want: "burn"},
		"prefix ends within a path segment":               {host: "trials.example", path: "/burning/7", want: "all"},
		"path without the trailing slash of the prefix":   {host: "ledger.example", path: "/plots"},
		"unknown host":         {host: "other.example", path: "/burn/7"},
		"path without a slash": {host: "trials.example", path: "*"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			target, isKnown := routes.Find(test.host, test.path)
			assert.Equal(t, target.Scope, test.want)
			assert.Equal(t, isKnown, test.want != "")
		})
	}
}
