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

// InstanceClient calls one instance as a caller or an operator does.
type InstanceClient struct {
	Address string
	Client  *http.Client
}

// NewInstanceClient returns a caller of the instance at address.
func NewInstanceClient(address string) InstanceClient {
	return InstanceClient{Address: address, Client: http.DefaultClient}
}

// Query sends a query and reads its answer. A refusal is an answer too.
func (caller InstanceClient) Query(ctx context.Context, query api.Query) (api.Answer, error) {
	body, err := EncodeQuery(query)
	if err != nil {
		return api.Answer{}, errors.Wrap(err, "encode query")
	}
	var answer api.Answer
	err = caller.post(ctx, "/v1/scopes/"+query.Scope+"/queries", body, &answer)
	return answer, err
}

// Command sends a command and reads its result.
func (caller InstanceClient) Command(ctx context.Context, command api.Command) (api.Result, error) {
	body, err := EncodeCommand(command)
	if err != nil {
		return api.Result{}, errors.Wrap(err, "encode command")
	}
	var result api.Result
	err = caller.post(ctx, "/v1/scopes/"+command.Scope+"/commands", body, &result)
	return result, err
}

// IssueKey takes a new idempotency key from the instance.
func (caller InstanceClient) IssueKey(ctx context.Context) (api.IssuedKey, error) {
	var issued api.IssuedKey
	err := caller.post(ctx, "/v1/keys", nil, &issued)
	return issued, err
}

// Instances asks which instances to use.
func (caller InstanceClient) Instances(ctx context.Context) (api.Addresses, error) {
	var addresses api.Addresses
	err := caller.Get(ctx, "/v1/instances", &addresses)
	return addresses, err
}

// Get reads the JSON value at path.
func (caller InstanceClient) Get(ctx context.Context, path string, value any) error {
	return caller.do(ctx, http.MethodGet, path, nil, value)
}

func (caller InstanceClient) post(ctx context.Context, path string, body []byte, value any) error {
	return caller.do(ctx, http.MethodPost, path, body, value)
}

func (caller InstanceClient) do(ctx context.Context, method, path string, body []byte, value any) error {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+caller.Address+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrapf(err, "call instance %s", caller.Address)
	}
	response, err := caller.Client.Do(request)
	if err != nil {
		return errors.Wrapf(err, "call instance %s", caller.Address)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return errors.Wrapf(err, "read answer of instance %s", caller.Address)
	}
	return errors.Wrapf(json.Unmarshal(text, value), "read answer of instance %s, status %d", caller.Address, response.StatusCode)
}
