package timeline_test

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mimosaspring/mimosaspring/internal/process/timeline"
)

// log holds lines of two requests, with text before the JSON objects as a log
// collector adds it, and a line without a JSON object.
const log = `  31.2 front-1 {"level":"info","logger":"caller","msg":"attempt sent","instance":"front-1","request":"9c41","after":0.000211,"shard":"kiln-01","peer":"i-7f"}
not a line of an instance
  31.3 front-1 {"level":"info","logger":"caller","msg":"attempt failed","instance":"front-1","request":"9c41","after":0.014,"shard":"kiln-01","peer":"i-7f","detail":"exchange with replica 10.1.0.9:80: read answer: EOF"}
  31.3 front-1 {"level":"info","logger":"caller","msg":"attempt sent","instance":"front-1","request":"9c42","after":0.0002,"shard":"kiln-02","peer":"i-8a"}
  31.3 front-1 {"level":"info","logger":"caller","msg":"shard given up","instance":"front-1","request":"9c41","after":0.0142,"shard":"kiln-01","detail":"failed"}
  31.3 front-1 {"level":"info","logger":"caller","msg":"request answered","instance":"front-1","request":"9c41","outcome":"unknown","took":0.015,"included":12,"selected":20,"reason":"coverage below the scope's minCoverage"}
`

func ExampleTimeline() {
	requestTimeline := timeline.Timeline{RequestID: "9c41"}
	if err := requestTimeline.Read(strings.NewReader(log)); err != nil {
		return
	}
	requestTimeline.Write(os.Stdout)
	// Output:
	// request 9c41
	//        211µs  front-1              attempt sent kiln-01 i-7f
	//         14ms  front-1              attempt failed kiln-01 i-7f exchange with replica 10.1.0.9:80: read answer: EOF
	//       14.2ms  front-1              shard given up kiln-01 failed
	//         15ms  front-1              answered: unknown, 12 of 20 shards
	// cause: coverage below the scope's minCoverage; 1 × attempt failed exchange with replica read answer: EOF, 1 × shard given up failed
}

// TestCause checks the explanation for each way in which a request can end.
func TestCause(t *testing.T) {
	tests := map[string]struct {
		lines []string
		want  string
	}{
		"nothing logged": {want: "no answer was logged: the request was answered in time, the log's rate limit was exceeded, or the process ended"},
		"in time":        {lines: []string{`{"msg":"request answered","request":"r","outcome":"done"}`}, want: "answered in time"},
		"late after a hedge": {
			lines: []string{
				`{"msg":"attempt hedged","request":"r","after":0.034,"shard":"s","peer":"i-2"}`,
				`{"msg":"request answered","request":"r","outcome":"done","isLate":true}`,
			},
			want: "late: attempt hedged at 34ms, s i-2",
		},
		"late without another attempt": {
			lines: []string{`{"msg":"request answered","request":"r","outcome":"done","isLate":true}`},
			want:  "late: no attempt was hedged or retried; the replica itself was slow",
		},
		"refused": {
			lines: []string{
				`{"msg":"attempt failed","request":"r","after":0.01,"detail":"the replica answered shed"}`,
				`{"msg":"request answered","request":"r","outcome":"notRun","reason":"no replica took the command"}`,
			},
			want: "no replica took the command; 1 × attempt failed the replica answered shed",
		},
		"refused in two exchanges": {
			lines: []string{
				`{"msg":"attempt failed","request":"r","after":0.01,"detail":"the replica answered shed (10.1.0.9:41800/7)"}`,
				`{"msg":"attempt failed","request":"r","after":0.03,"detail":"the replica answered shed (10.1.0.9:41802/1)"}`,
				`{"msg":"request answered","request":"r","outcome":"notRun","reason":"no replica took the command"}`,
			},
			want: "no replica took the command; 2 × attempt failed the replica answered shed",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			requestTimeline := timeline.Timeline{RequestID: "r"}
			assert.NilError(t, requestTimeline.Read(strings.NewReader(strings.Join(test.lines, "\n"))))
			assert.Equal(t, requestTimeline.Cause(), test.want)
		})
	}
}
