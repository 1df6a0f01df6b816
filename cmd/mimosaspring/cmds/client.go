package cmds

import (
	"context"
	"io"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"github.com/mimosaspring/mimosaspring/internal/process/commandline"
	"github.com/mimosaspring/mimosaspring/internal/query/operator"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/wire/http"
)

// clientMargin is how much longer than its deadline a request may take.
const clientMargin = time.Second

type target struct {
	Instance string `required:"" placeholder:"IP:PORT" help:"The instance's address for callers."`
}

type queryCmd struct {
	target
	Scope    string        `required:"" help:"The scope to ask."`
	Kind     string        `required:"" help:"The kind of query."`
	Text     string        `help:"What to look for."`
	Deadline time.Duration `default:"1s" help:"When the answer must be there."`
}

// Run sends the query and prints its answer.
func (querycmd *queryCmd) Run(ctx context.Context, stdout io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, querycmd.Deadline+clientMargin)
	defer cancel()
	query := api.Query{Scope: querycmd.Scope, Kind: querycmd.Kind, Text: querycmd.Text, Deadline: querycmd.Deadline}
	answer, err := http.NewInstanceClient(querycmd.Instance).Query(ctx, query)
	if err != nil {
		return err
	}
	if err := printJSON(stdout, answer); err != nil {
		return err
	}
	return outcomeError(answer.Outcome, answer.Reason)
}

func outcomeError(outcome api.Outcome, reason string) error {
	if outcome == api.OutcomeDone {
		return nil
	}
	return errors.Errorf("outcome %s: %s", outcome, reason)
}

type commandCmd struct {
	target
	Scope    string        `required:"" help:"The scope that holds the command's kind."`
	Kind     string        `required:"" help:"The kind of command."`
	Shard    string        `help:"The shard; may be left out where the kind selects one."`
	Key      string        `help:"An idempotency key, so that the command can be repeated safely."`
	Body     string        `default:"{}" help:"The command's body, in JSON."`
	Deadline time.Duration `default:"2s" help:"When the result must be there."`
}

// Run sends the command and prints its result.
func (commandcmd *commandCmd) Run(ctx context.Context, stdout io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, commandcmd.Deadline+clientMargin)
	defer cancel()
	command := api.Command{
		Scope:    commandcmd.Scope,
		Kind:     commandcmd.Kind,
		Shard:    commandcmd.Shard,
		Key:      commandcmd.Key,
		Body:     []byte(commandcmd.Body),
		Deadline: commandcmd.Deadline,
	}
	result, err := http.NewInstanceClient(commandcmd.Instance).Command(ctx, command)
	if err != nil {
		return err
	}
	if err := printJSON(stdout, result); err != nil {
		return err
	}
	return outcomeError(result.Outcome, result.Reason)
}

type keyCmd struct{ target }

// Run prints a new key.
func (keycmd *keyCmd) Run(ctx context.Context, stdout io.Writer) error {
	issued, err := http.NewInstanceClient(keycmd.Instance).IssueKey(ctx)
	if err != nil {
		return err
	}
	return printJSON(stdout, issued)
}

type instancesCmd struct{ target }

// Run prints the instances to use.
func (instancescmd *instancesCmd) Run(ctx context.Context, stdout io.Writer) error {
	addresses, err := http.NewInstanceClient(instancescmd.Instance).Instances(ctx)
	if err != nil {
		return err
	}
	return printJSON(stdout, addresses)
}

type statusCmd struct {
	Operator string `required:"" placeholder:"IP:PORT" help:"The instance's address for operators."`
}

// Run prints the status.
func (statuscmd *statusCmd) Run(ctx context.Context, stdout io.Writer) error {
	var status operator.Status
	if err := http.NewInstanceClient(statuscmd.Operator).Get(ctx, "/v1/status", &status); err != nil {
		return err
	}
	return printJSON(stdout, status)
}

type explainCmd struct {
	Operator  string `placeholder:"IP:PORT" xor:"from" required:"" help:"The instance's address for operators."`
	Documents string `type:"existingdir" xor:"from" required:"" help:"A folder of documents to explain instead, one file a key."`
	Scope     string `required:"" help:"The scope."`
	Kind      string `required:"" help:"The kind of request."`
}

// Run prints which shards the kind covers.
func (explaincmd *explainCmd) Run(ctx context.Context, stdout io.Writer) error {
	if explaincmd.Documents != "" {
		return explaincmd.explainFiles(stdout)
	}
	var explanation operator.Explanation
	path := "/v1/explain?" + url.Values{"scope": {explaincmd.Scope}, "kind": {explaincmd.Kind}}.Encode()
	if err := http.NewInstanceClient(explaincmd.Operator).Get(ctx, path, &explanation); err != nil {
		return err
	}
	return printJSON(stdout, explanation)
}

func (explaincmd *explainCmd) explainFiles(stdout io.Writer) error {
	received, err := readDocuments(explaincmd.Documents)
	if err != nil {
		return &commandline.InputError{Cause: err}
	}
	explanation, err := operator.Explain(viewOf(received), explaincmd.Scope, explaincmd.Kind)
	if err != nil {
		return &commandline.InputError{Cause: err}
	}
	return printJSON(stdout, explanation)
}
