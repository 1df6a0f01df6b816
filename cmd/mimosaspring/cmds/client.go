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

// clientMargin is how much longer than the deadline of a request the client waits
// for the answer.
const clientMargin = time.Second

// instanceFlags holds the flags of all commands that contact an instance as a
// caller does.
type instanceFlags struct {
	Instance string `required:"" placeholder:"IP:PORT" help:"The instance's address for callers."`
}

type queryCmd struct {
	instanceFlags
	Scope    string        `required:"" help:"The scope to query."`
	Kind     string        `required:"" help:"The kind of query."`
	Text     string        `help:"The text to search for."`
	Deadline time.Duration `default:"1s" help:"The time within which the answer must arrive."`
}

// Run sends the query and prints the answer. It returns an error if the outcome
// is not "done".
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

// outcomeError returns an error for every outcome but "done".
func outcomeError(outcome api.Outcome, reason string) error {
	if outcome == api.OutcomeDone {
		return nil
	}
	return errors.Errorf("outcome %s: %s", outcome, reason)
}

type commandCmd struct {
	instanceFlags
	Scope    string        `required:"" help:"The scope that holds the command's kind."`
	Kind     string        `required:"" help:"The kind of command."`
	Shard    string        `help:"The shard; optional if the kind selects a single shard."`
	Key      string        `help:"An idempotency key, so that the command can be repeated safely."`
	Body     string        `default:"{}" help:"The command's body, in JSON."`
	Deadline time.Duration `default:"2s" help:"The time within which the result must arrive."`
}

// Run sends the command and prints the result. It returns an error if the outcome
// is not "done".
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

type keyCmd struct{ instanceFlags }

// Run requests an idempotency key and prints it.
func (keycmd *keyCmd) Run(ctx context.Context, stdout io.Writer) error {
	issuedkey, err := http.NewInstanceClient(keycmd.Instance).IssueKey(ctx)
	if err != nil {
		return err
	}
	return printJSON(stdout, issuedkey)
}

type instancesCmd struct{ instanceFlags }

// Run prints the addresses of the instances that callers can use.
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

// Run prints the status of the instance.
func (statuscmd *statusCmd) Run(ctx context.Context, stdout io.Writer) error {
	var status operator.Status
	if err := http.NewInstanceClient(statuscmd.Operator).Get(ctx, "/v1/status", &status); err != nil {
		return err
	}
	return printJSON(stdout, status)
}

type explainCmd struct {
	Operator  string `placeholder:"IP:PORT" xor:"from" required:"" help:"The instance's address for operators."`
	Documents string `type:"existingdir" xor:"from" required:"" help:"A folder of documents to read instead, one file per key."`
	Scope     string `required:"" help:"The scope."`
	Kind      string `required:"" help:"The kind of request."`
}

// Run prints which shards the kind covers, as an instance reports it or as the
// documents of a folder define it.
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

// explainFiles explains the documents of a folder without an instance.
func (explaincmd *explainCmd) explainFiles(stdout io.Writer) error {
	decodedDocuments, err := readValidDocuments(explaincmd.Documents)
	if err != nil {
		return &commandline.InputError{Cause: err}
	}
	explanation, err := operator.Explain(buildView(decodedDocuments), explaincmd.Scope, explaincmd.Kind)
	if err != nil {
		return &commandline.InputError{Cause: err}
	}
	return printJSON(stdout, explanation)
}
