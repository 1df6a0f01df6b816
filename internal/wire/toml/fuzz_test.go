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

func FuzzSettings(f *testing.F) {
	f.Add([]byte("name = \"e1\"\n[peers]\nprobeInterval = \"1s\"\n"))
	f.Fuzz(func(_ *testing.T, text []byte) {
		read := settings.Default()
		if toml.Decode(text, &read) == nil {
			_ = read.Validate()
		}
	})
}
