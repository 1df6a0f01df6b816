package toml

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
)

// Extension is the suffix of files that hold documents in TOML.
const Extension = ".toml"

// ReadFolder reads every file below folder whose name ends with extension as a document,
// at revision 1. The key is the file's path relative to folder without the extension:
// scope/a.toml holds the key scope/a.
func ReadFolder(folder, extension string) ([]api.Document, error) {
	var documents []api.Document
	err := filepath.WalkDir(folder, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || filepath.Ext(path) != extension {
			return err
		}
		value, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		relativePath, err := filepath.Rel(folder, path)
		if err != nil {
			return err
		}
		key := strings.TrimSuffix(filepath.ToSlash(relativePath), extension)
		documents = append(documents, api.Document{Key: key, Revision: 1, Value: value})
		return nil
	})
	return documents, errors.Wrap(err, "read folder of documents")
}
