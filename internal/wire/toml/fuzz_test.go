package toml_test

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/settings"
	"github.com/mimosaspring/mimosaspring/internal/wire/toml"
)

// FuzzParse checks that parsing a document twice gives the same result, which
// instances rely on to accept the same documents.
func FuzzParse(f *testing.F) {
	files, err := filepath.Glob("../../../_fixtures/documents/*/*.toml")
	assert.NilError(f, err)
	for _, file := range files {
		text, err := os.ReadFile(file)
		assert.NilError(f, err)
		f.Add(filepath.Base(filepath.Dir(file))+"/x", text)
	}
	f.Fuzz(func(t *testing.T, key string, text []byte) {
		document := api.Document{Key: key, Value: text}
		first, second := toml.Parse(document), toml.Parse(document)
		assert.Equal(t, first.RefusalReason, second.RefusalReason)
	})
}

// FuzzSettings checks that no settings file makes decoding or validation panic.
func FuzzSettings(f *testing.F) {
	f.Add([]byte("name = \"e1\"\n[peers]\nprobeInterval = \"1s\"\n"))
	f.Fuzz(func(_ *testing.T, text []byte) {
		settings := settings.Default()
		if toml.Decode(text, &settings) == nil {
			_ = settings.Validate()
		}
	})
}
