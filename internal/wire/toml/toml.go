// Package toml reads settings files and the platform's documents.
package toml

import (
	"bytes"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/settings"
)

// ReadSettings reads and checks a settings file. The error names the file,
// the key and what is allowed.
func ReadSettings(path string) (settings.Settings, error) {
	read := settings.Default()
	text, err := os.ReadFile(path)
	if err != nil {
		return read, errors.Wrap(err, "read settings")
	}
	if err := Decode(text, &read); err != nil {
		return read, errors.WithMessage(err, path)
	}
	if err := read.Validate(); err != nil {
		return read, errors.WithMessage(err, path)
	}
	return read, nil
}

// Decode reads text into value. An unknown key or a wrong type is an error
// that names the key and its line.
func Decode(text []byte, value any) error {
	decoder := toml.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	return explain(decoder.Decode(value))
}

func explain(err error) error {
	var missing *toml.StrictMissingError
	if errors.As(err, &missing) {
		first := missing.Errors[0]
		row, _ := first.Position()
		return errors.Errorf("line %d: unknown key %s", row, strings.Join(first.Key(), "."))
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		row, _ := decode.Position()
		return errors.Errorf("line %d: key %s: %s", row, strings.Join(decode.Key(), "."), decode.Error())
	}
	return err
}

// Encode writes value as a document.
func Encode(value any) ([]byte, error) {
	text, err := toml.Marshal(value)
	return text, errors.Wrap(err, "encode document")
}

// ErrUnknownPrefix reports a key under no known prefix.
var ErrUnknownPrefix = errors.New("key under no known prefix; allowed: index/, upstreams/, scope/, instances/")

// Parse reads and checks a document. The verdict depends on the document
// alone, so that every instance gives the same one.
func Parse(document api.Document) api.DecodedDocument {
	received := api.DecodedDocument{Document: document}
	if document.IsDeleted {
		return received
	}
	if err := parseInto(&received); err != nil {
		received.RefusalReason = err.Error()
	}
	return received
}

func parseInto(received *api.DecodedDocument) error {
	document := received.Document
	if len(document.Value) > api.MaxDocumentBytes {
		return errors.Errorf("%d bytes; allowed: %d", len(document.Value), api.MaxDocumentBytes)
	}
	var err error
	switch {
	case strings.HasPrefix(document.Key, api.IndexPrefix):
		received.Index, err = parse[api.Index](document)
	case strings.HasPrefix(document.Key, api.UpstreamsPrefix):
		received.Upstreams, err = parse[api.Upstreams](document)
	case strings.HasPrefix(document.Key, api.ScopePrefix):
		received.Scope, err = parse[api.Scope](document)
	case strings.HasPrefix(document.Key, api.InstancesPrefix):
		received.Instances, err = parse[api.InstanceList](document)
	default:
		err = errors.WithStack(ErrUnknownPrefix)
	}
	return err
}

type validated interface{ Validate() error }

func parse[D validated](document api.Document) (*D, error) {
	var parsed D
	if err := Decode(document.Value, &parsed); err != nil {
		return nil, errors.WithMessage(err, document.Key)
	}
	if err := parsed.Validate(); err != nil {
		return nil, errors.WithMessage(err, document.Key)
	}
	return &parsed, nil
}
