package http

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
)

// TestDecodeRejectsInvalidBodies checks that both decoders report the invalid field.
func TestDecodeRejectsInvalidBodies(t *testing.T) {
	tests := map[string]struct {
		body  string
		field string
	}{
		"no JSON":            {body: `{"kind":`, field: "body"},
		"wrong type":         {body: `{"kind":7,"deadlineMillis":50}`, field: "body"},
		"no deadline":        {body: `{"kind":"lookup"}`, field: "deadlineMillis"},
		"zero deadline":      {body: `{"kind":"lookup","deadlineMillis":0}`, field: "deadlineMillis"},
		"negative deadline":  {body: `{"kind":"lookup","deadlineMillis":-5}`, field: "deadlineMillis"},
		"deadline too long":  {body: `{"kind":"lookup","deadlineMillis":9999999}`, field: "deadlineMillis"},
		"body over the size": {body: `{"kind":"` + strings.Repeat("x", api.MaxRequestBytes) + `"}`, field: "body"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			request := func() *http.Request {
				return httptest.NewRequest(http.MethodPost, "/", strings.NewReader(test.body))
			}
			for _, err := range []error{errorOf(DecodeQuery("s", request())), errorOf(DecodeCommand("s", request()))} {
				var invalid *api.InvalidError
				assert.Assert(t, errors.As(err, &invalid), "%v", err)
				assert.Equal(t, invalid.Field, test.field)
			}
		})
	}
}

// errorOf returns the error of a call with two results.
func errorOf[V any](_ V, err error) error { return err }

// FuzzDecodeCaller checks that no body makes the decoders panic.
func FuzzDecodeCaller(f *testing.F) {
	f.Add(`{"kind":"lookup","text":"husk","deadlineMillis":98}`)
	f.Add(`{"kind":"register","key":"k","body":{},"deadlineMillis":98}`)
	f.Fuzz(func(_ *testing.T, body string) {
		_, _ = DecodeQuery("s", httptest.NewRequest(http.MethodPost, "/", strings.NewReader(body)))
		_, _ = DecodeCommand("s", httptest.NewRequest(http.MethodPost, "/", strings.NewReader(body)))
	})
}

// FuzzDecodeReply checks that a reply with any other HTTP status than 200 is
// never decoded as done.
func FuzzDecodeReply(f *testing.F) {
	f.Add(200, "done", "7", "1", "7,8", []byte("{}"))
	f.Add(503, "shed", "", "", "", []byte(""))
	f.Fuzz(func(t *testing.T, code int, status, snapshot, epoch, heldSnapshots string, body []byte) {
		header := http.Header{}
		header.Set(headerStatus, status)
		header.Set(headerSnapshot, snapshot)
		header.Set(headerEpoch, epoch)
		header.Set(headerHeldSnapshots, heldSnapshots)
		reply, err := decodeReplyFields(header, code, body)
		if err == nil && reply.Status == api.ReplyDone {
			assert.Equal(t, code, http.StatusOK)
		}
	})
}

// TestDecodeRelayedRequest checks that the request target, the body and the
// end-to-end headers of a caller's request are forwarded, and that hop-by-hop
// headers and headers which only the system may set are not.
func TestDecodeRelayedRequest(t *testing.T) {
	request := httptest.NewRequest(http.MethodPost, "/burn/a%2fb?q=1", strings.NewReader("sample"))
	request.Host = "trials.example"
	request.Header = http.Header{
		"Mimosa-Request":         {"r-1"},
		"Mimosa-Deadline-Millis": {"800"},
		"Mimosa-Replica":         {"forged"},
		"Connection":             {"keep-alive, X-Hop"},
		"X-Hop":                  {"this connection only"},
		"Keep-Alive":             {"timeout=5"},
		"Accept":                 {"text/plain", "*/*"},
		"Content-Length":         {"6"},
	}
	relayed, err := DecodeRelayedRequest(&DefaultHeaderNames, request, 6)
	assert.NilError(t, err)
	assert.Equal(t, string(relayed.Header), "Accept: text/plain\r\nAccept: */*\r\nMimosa-Request: r-1\r\n")
	assert.Equal(t, relayed.RequestTarget, "/burn/a%2fb?q=1")
	assert.Equal(t, relayed.Path, "/burn/a%2fb")
	assert.Equal(t, relayed.Deadline, 800*time.Millisecond)
	assert.Equal(t, string(relayed.Body), "sample")
	_, err = DecodeRelayedRequest(&DefaultHeaderNames, httptest.NewRequest(http.MethodGet, "/", nil), 6)
	assert.ErrorContains(t, err, "Mimosa-Request")
}
