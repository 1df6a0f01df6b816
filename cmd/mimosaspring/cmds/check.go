package cmds

import (
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/mimosaspring/mimosaspring/internal/command/control"
	"github.com/mimosaspring/mimosaspring/internal/process/commandline"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/message"
	"github.com/mimosaspring/mimosaspring/internal/state/view"
	"github.com/mimosaspring/mimosaspring/internal/wire/toml"
)

type checkCmd struct {
	Settings  string `type:"path" help:"A settings file to check."`
	Documents string `type:"existingdir" help:"A folder of documents to check: the file scope/a.toml holds the key scope/a."`
}

// Run checks the files and prints what they hold.
func (checkcmd *checkCmd) Run(stdout io.Writer) error {
	if checkcmd.Settings == "" && checkcmd.Documents == "" {
		return &commandline.InputError{Cause: errors.New("nothing to check; give --settings or --documents")}
	}
	if checkcmd.Settings != "" {
		if _, err := toml.ReadSettings(checkcmd.Settings); err != nil {
			return &commandline.InputError{Cause: err}
		}
		fmt.Fprintf(stdout, "%s: settings are valid\n", checkcmd.Settings)
	}
	if checkcmd.Documents == "" {
		return nil
	}
	received, err := readDocuments(checkcmd.Documents)
	if err != nil {
		return &commandline.InputError{Cause: err}
	}
	return reportScopes(stdout, viewOf(received))
}

// readDocuments reads and checks the documents of folder.
func readDocuments(folder string) ([]api.DecodedDocument, error) {
	documents, err := toml.ReadFolder(folder)
	if err != nil {
		return nil, err
	}
	var checked []api.DecodedDocument
	for _, document := range documents {
		received := toml.Parse(document)
		if received.RefusalReason != "" {
			return nil, errors.Errorf("%s: %s", folder, received.RefusalReason)
		}
		checked = append(checked, received)
	}
	return checked, nil
}

// viewOf returns what an instance would publish with documents in force.
func viewOf(documents []api.DecodedDocument) *view.View {
	state := control.NewState(api.Member{}, 0, time.Time{})
	for _, received := range documents {
		control.Apply(state, message.DocumentReceived{Decoded: received}, time.Time{})
	}
	return control.Build(state, control.RebuildAll)
}

func reportScopes(stdout io.Writer, current *view.View) error {
	for name, scope := range current.Scopes {
		for kind, selection := range scope.Selections {
			fmt.Fprintf(stdout, "scope %s, kind %s: %d shards\n", name, kind, len(selection.Shards))
		}
	}
	return nil
}
