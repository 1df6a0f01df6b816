// Package toml decodes settings files, and encodes and decodes the documents of the
// platform's configuration service, all in TOML.
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

// ReadSettings reads and validates a settings file. Keys that the file lacks keep
// their defaults. Overrides of the form KEY=VALUE, with a value as in the file, replace
// keys of the file; one without a value is ignored. An error about the content names the
// file or the override, the key and the allowed values.
func ReadSettings(path string, overrides ...string) (settings.Settings, error) {
	settings := settings.Default()
	text, err := os.ReadFile(path)
	if err != nil {
		return settings, errors.Wrap(err, "read settings")
	}
	if err := Decode(text, &settings); err != nil {
		return settings, errors.WithMessage(err, path)
	}
	for _, override := range overrides {
		if _, value, _ := strings.Cut(override, "="); value == "" {
			continue
		}
		if err := Decode([]byte(override), &settings); err != nil {
			return settings, errors.WithMessage(err, override)
		}
	}
	if err := settings.Validate(); err != nil {
		return settings, errors.WithMessage(err, path)
	}
	return settings, nil
}

// Decode decodes text into value, which must be a pointer. An unknown key or a
// value of a wrong type is an error that names the key and its line.
func Decode(text []byte, value any) error {
	decoder := toml.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	return withPosition(decoder.Decode(value))
}

// withPosition returns a decoding error as one that names the key and its line.
func withPosition(err error) error {
	var unknownKeys *toml.StrictMissingError
	if errors.As(err, &unknownKeys) {
		first := unknownKeys.Errors[0]
		line, _ := first.Position()
		return errors.Errorf("line %d: unknown key %s", line, strings.Join(first.Key(), "."))
	}
	var decodeError *toml.DecodeError
	if errors.As(err, &decodeError) {
		line, _ := decodeError.Position()
		return errors.Errorf("line %d: key %s: %s", line, strings.Join(decodeError.Key(), "."), decodeError.Error())
	}
	return err
}

// Encode encodes value as the text of a document.
func Encode(value any) ([]byte, error) {
	text, err := toml.Marshal(value)
	return text, errors.Wrap(err, "encode document")
}

// ErrUnknownPrefix reports a document key that starts with no known prefix.
var ErrUnknownPrefix = errors.New("key has an unknown prefix; allowed: index/, upstreams/, scope/, instances/, evacuation/")

// Parse decodes and validates a document. The result depends on the document
// alone, so every instance accepts or refuses the same documents. A refused
// document has its RefusalReason set.
func Parse(document api.Document) api.DecodedDocument {
	decodeddocument := api.DecodedDocument{Document: document}
	if document.IsDeleted {
		return decodeddocument
	}
	if err := parseInto(&decodeddocument); err != nil {
		decodeddocument.RefusalReason = err.Error()
	}
	return decodeddocument
}

// parseInto decodes the document's value into the field for its kind of document,
// which the prefix of the key determines.
func parseInto(decodeddocument *api.DecodedDocument) error {
	document := decodeddocument.Document
	if len(document.Value) > api.MaxDocumentBytes {
		return errors.Errorf("%d bytes; allowed: %d", len(document.Value), api.MaxDocumentBytes)
	}
	var err error
	switch {
	case strings.HasPrefix(document.Key, api.IndexPrefix):
		decodeddocument.Index, err = parse[api.Index](document)
	case strings.HasPrefix(document.Key, api.UpstreamsPrefix):
		decodeddocument.Upstreams, err = parse[api.Upstreams](document)
	case strings.HasPrefix(document.Key, api.ScopePrefix):
		decodeddocument.Scope, err = parse[api.Scope](document)
	case strings.HasPrefix(document.Key, api.InstancesPrefix):
		decodeddocument.Instances, err = parse[api.InstanceList](document)
	case strings.HasPrefix(document.Key, api.EvacuationPrefix):
		decodeddocument.Evacuation, err = parseEvacuation(document)
	default:
		err = errors.WithStack(ErrUnknownPrefix)
	}
	return err
}

// validator is the content of a document that can check itself.
type validator interface{ Validate() error }

// parse decodes and validates the value of a document. An error names its key.
func parse[D validator](document api.Document) (*D, error) {
	var content D
	if err := Decode(document.Value, &content); err != nil {
		return nil, errors.WithMessage(err, document.Key)
	}
	if err := content.Validate(); err != nil {
		return nil, errors.WithMessage(err, document.Key)
	}
	return &content, nil
}

// parseEvacuation decodes an evacuation, which has an empty value: the key names the
// failure domain.
func parseEvacuation(document api.Document) (*api.Evacuation, error) {
	evacuation := &api.Evacuation{FailureDomain: strings.TrimPrefix(document.Key, api.EvacuationPrefix)}
	if err := Decode(document.Value, evacuation); err != nil {
		return nil, errors.WithMessage(err, document.Key)
	}
	return evacuation, errors.WithMessage(evacuation.Validate(), document.Key)
}
