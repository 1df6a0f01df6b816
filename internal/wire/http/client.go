package http

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
)

// InstanceClient sends requests to one instance, as callers and operators do.
type InstanceClient struct {
	// Address is the host and port of the instance.
	Address string
	Client  *http.Client
}

// NewInstanceClient returns a client of the instance at address that uses
// http.DefaultClient.
func NewInstanceClient(address string) InstanceClient {
	return InstanceClient{Address: address, Client: http.DefaultClient}
}

// Query sends a query and returns its answer. A refusal is returned as an answer,
// not as an error.
func (instanceclient InstanceClient) Query(ctx context.Context, query api.Query) (api.Answer, error) {
	body, err := EncodeQuery(query)
	if err != nil {
		return api.Answer{}, errors.Wrap(err, "encode query")
	}
	var answer api.Answer
	err = instanceclient.post(ctx, "/v1/scopes/"+query.Scope+"/queries", body, &answer)
	return answer, err
}

// Command sends a command and returns its result. A refusal is returned as a
// result, not as an error.
func (instanceclient InstanceClient) Command(ctx context.Context, command api.Command) (api.Result, error) {
	body, err := EncodeCommand(command)
	if err != nil {
		return api.Result{}, errors.Wrap(err, "encode command")
	}
	var result api.Result
	err = instanceclient.post(ctx, "/v1/scopes/"+command.Scope+"/commands", body, &result)
	return result, err
}

// IssueKey asks the instance for a new idempotency key.
func (instanceclient InstanceClient) IssueKey(ctx context.Context) (api.IssuedKey, error) {
	var issued api.IssuedKey
	err := instanceclient.post(ctx, "/v1/keys", nil, &issued)
	return issued, err
}

// Instances returns the instances that a caller should use.
func (instanceclient InstanceClient) Instances(ctx context.Context) (api.Addresses, error) {
	var addresses api.Addresses
	err := instanceclient.Get(ctx, "/v1/instances", &addresses)
	return addresses, err
}

// Get decodes the JSON response at path into value, whatever its status.
func (instanceclient InstanceClient) Get(ctx context.Context, path string, value any) error {
	return instanceclient.do(ctx, http.MethodGet, path, nil, value)
}

func (instanceclient InstanceClient) post(ctx context.Context, path string, body []byte, value any) error {
	return instanceclient.do(ctx, http.MethodPost, path, body, value)
}

func (instanceclient InstanceClient) do(ctx context.Context, method, path string, body []byte, value any) error {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+instanceclient.Address+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrapf(err, "call instance %s", instanceclient.Address)
	}
	response, err := instanceclient.Client.Do(request)
	if err != nil {
		return errors.Wrapf(err, "call instance %s", instanceclient.Address)
	}
	defer response.Body.Close()
	encoded, err := io.ReadAll(response.Body)
	if err != nil {
		return errors.Wrapf(err, "read answer of instance %s", instanceclient.Address)
	}
	return errors.Wrapf(json.Unmarshal(encoded, value), "read answer of instance %s, status %d", instanceclient.Address, response.StatusCode)
}
