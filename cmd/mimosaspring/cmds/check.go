package cmds

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/mimosaspring/mimosaspring/internal/command/control"
	"github.com/mimosaspring/mimosaspring/internal/process/commandline"
	"github.com/mimosaspring/mimosaspring/internal/process/instance"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/check"
	"github.com/mimosaspring/mimosaspring/internal/state/message"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
	"github.com/mimosaspring/mimosaspring/internal/wire/http"
	"github.com/mimosaspring/mimosaspring/internal/wire/toml"
)

type checkCmd struct {
	Settings  string `type:"path" help:"A settings file to check. The limits of documents are checked against it."`
	Documents string `type:"existingdir" help:"A folder of documents to check: the file scope/a.toml holds the document with the key scope/a."`
	Interface string `placeholder:"NAME" help:"The interface that the documents are written for, as in settings; that of --settings if empty."`
	Against   string `type:"existingdir" xor:"against" help:"A folder with the documents in force, to compare with."`
	Operator  string `placeholder:"IP:PORT" xor:"against" help:"Compare with what is in force on the instance with this address for operators."`
	Platform  string `placeholder:"IP:PORT" xor:"against" help:"Compare with what the configuration service at this address holds."`
	Whole     bool   `help:"The documents in force that the folder lacks are to be removed, except for lists of instances."`
	Format    string `enum:"text,json" default:"text" help:"The format of the findings: text or json."`
}

// Run checks the files. It prints the findings, what differs from the documents in force
// and, as text, the number of shards that each kind of each scope covers. It returns an
// InputError if a finding is an error.
func (checkcmd *checkCmd) Run(ctx context.Context, stdout io.Writer) error {
	isCompared := checkcmd.Against != "" || checkcmd.Operator != "" || checkcmd.Platform != ""
	switch {
	case checkcmd.Documents != "":
	case isCompared:
		return &commandline.InputError{Cause: errors.New("nothing to compare; give --documents")}
	case checkcmd.Settings == "":
		return &commandline.InputError{Cause: errors.New("nothing to check; give --settings or --documents")}
	}
	input := check.Input{IsWhole: checkcmd.Whole, BuildView: buildView}
	if checkcmd.Settings != "" {
		settings, err := toml.ReadSettings(checkcmd.Settings)
		if err != nil {
			return &commandline.InputError{Cause: err}
		}
		input.Settings, input.CallerMemory = &settings, instance.CallerLimits(settings)
		if checkcmd.Format == "text" {
			fmt.Fprintf(stdout, "%s: settings are valid\n", checkcmd.Settings)
		}
	}
	if checkcmd.Documents == "" {
		return nil
	}
	if err := checkcmd.readDocuments(ctx, &input); err != nil {
		return err
	}
	return checkcmd.print(stdout, check.Run(input))
}

// readDocuments adds the documents to check, and those to compare them with, to input.
func (checkcmd *checkCmd) readDocuments(ctx context.Context, input *check.Input) error {
	name := checkcmd.Interface
	if name == "" && input.Settings != nil {
		name = input.Settings.Interface
	}
	adapter, err := findAdapter(name)
	if err != nil {
		return &commandline.InputError{Cause: err}
	}
	if input.Proposed, err = readDocuments(checkcmd.Documents, adapter); err != nil {
		return &commandline.InputError{Cause: err}
	}
	if len(input.Proposed) == 0 {
		return &commandline.InputError{Cause: errors.Errorf("%s holds no file *%s; is --interface right?", checkcmd.Documents, adapter.DocumentExtension)}
	}
	if input.InForce, err = checkcmd.readInForce(ctx, adapter); err != nil {
		return err
	}
	isUsed := func(decoded api.DecodedDocument) bool { return !check.IsUnused(decoded) }
	if len(input.InForce) > 0 && !slices.ContainsFunc(input.InForce, isUsed) {
		return &commandline.InputError{Cause: errors.New("no document in force is used; is --interface right?")}
	}
	return nil
}

// readInForce returns the documents in force, or nil if nothing is compared.
func (checkcmd *checkCmd) readInForce(ctx context.Context, adapter instance.Adapter) ([]api.DecodedDocument, error) {
	switch {
	case checkcmd.Against != "":
		decodedDocuments, err := readDocuments(checkcmd.Against, adapter)
		if err != nil {
			return nil, &commandline.InputError{Cause: err}
		}
		return decodedDocuments, nil
	case checkcmd.Operator != "":
		var documents []api.Document
		err := http.NewInstanceClient(checkcmd.Operator).Get(ctx, "/v1/documents", &documents)
		return decodeDocuments(documents, adapter), err
	case checkcmd.Platform != "":
		changes, err := adapter.ListDocuments(ctx, checkcmd.Platform)
		return decodeDocuments(changes.Documents, adapter), err
	}
	return nil, nil
}

// print prints the report. It returns an InputError if a finding is an error.
func (checkcmd *checkCmd) print(stdout io.Writer, report check.Report) error {
	if checkcmd.Format == "json" {
		if err := printJSON(stdout, report); err != nil {
			return err
		}
	} else {
		for _, finding := range report.Findings {
			fmt.Fprintln(stdout, finding)
		}
		for _, change := range report.Changes {
			fmt.Fprintln(stdout, change)
		}
		printScopes(stdout, report.View)
	}
	if count := report.ErrorCount(); count > 0 {
		return &commandline.InputError{Cause: errors.Errorf("%s: errors: %d", checkcmd.Documents, count)}
	}
	return nil
}

// readDocuments reads and decodes the documents of folder as an instance with the
// adapter does.
func readDocuments(folder string, adapter instance.Adapter) ([]api.DecodedDocument, error) {
	documents, err := toml.ReadFolder(folder, adapter.DocumentExtension)
	return decodeDocuments(documents, adapter), err
}

// decodeDocuments decodes documents. The result is not nil.
func decodeDocuments(documents []api.Document, adapter instance.Adapter) []api.DecodedDocument {
	decodedDocuments := make([]api.DecodedDocument, 0, len(documents))
	for _, document := range documents {
		decodedDocuments = append(decodedDocuments, adapter.ParseDocument(document))
	}
	return decodedDocuments
}

// readValidDocuments reads and decodes the documents of folder. It returns an error if
// one of them cannot be read or would be refused by an instance.
func readValidDocuments(folder string) ([]api.DecodedDocument, error) {
	decodedDocuments, err := readDocuments(folder, instance.NativeAdapter())
	if err != nil {
		return nil, err
	}
	for _, decodeddocument := range decodedDocuments {
		if decodeddocument.RefusalReason != "" {
			return nil, errors.Errorf("%s: %s", folder, decodeddocument.RefusalReason)
		}
	}
	return decodedDocuments, nil
}

// buildView returns the View of an instance that has received only documents.
func buildView(decodedDocuments []api.DecodedDocument) *view.View {
	state := control.NewState(api.Member{}, 0, time.Time{})
	for _, decodeddocument := range decodedDocuments {
		control.Apply(state, message.DocumentReceived{Decoded: decodeddocument}, time.Time{})
	}
	return control.Build(state, control.RebuildAll)
}

// printScopes prints the number of shards that each kind of each scope covers.
func printScopes(stdout io.Writer, current *view.View) {
	for _, name := range slices.Sorted(maps.Keys(current.Scopes)) {
		selections := current.Scopes[name].Selections
		for _, kind := range slices.Sorted(maps.Keys(selections)) {
			fmt.Fprintf(stdout, "scope %s, kind %s: %d shards\n", name, kind, len(selections[kind].Shards))
		}
	}
}
