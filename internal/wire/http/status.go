package http

import (
	"net/http"
	"net/textproto"

	"github.com/pkg/errors"
)

// maxStatus is the greatest status that an answer may have.
const maxStatus = 599

// checkStatus returns an error if no answer to a request may have the given status: one
// that is not from 100 to 599, or 101, for which no request asks. The bytes that follow
// such a status belong to no message.
func checkStatus(status int) error {
	if status < http.StatusContinue || status > maxStatus || status == http.StatusSwitchingProtocols {
		return errors.Errorf("answer with status %03d", status)
	}
	return nil
}

// PromisesNotRun reports whether an answer with the given status tells a caller that its
// request has not run and never will.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// checkInterim returns an error if an interim response states a length, although it has
// no body. What follows its head would be taken for the next answer.
func checkInterim(status int, header textproto.MIMEHeader) error {
	if length := header.Get("Content-Length"); length != "" && length != "0" {
		return errors.Errorf("interim response %d with a body of %.20s bytes", status, length)
	}
	return nil
}

// Do sends a request like client.Do. It returns an error, and closes the connection, if
// the answer's status is not valid.
func Do(client *http.Client, request *http.Request) (*http.Response, error) {
	used := &usedConn{}
	response, err := client.Do(request.WithContext(used.observe(request.Context())))
	if err != nil {
		return nil, err
	}
	if err := checkStatus(response.StatusCode); err != nil {
		used.close()
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}
