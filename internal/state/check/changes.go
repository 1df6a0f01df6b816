package check

import (
	"bytes"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
)

// ChangeKind is how something differs between two sets of documents.
type ChangeKind string

// The kinds of changes.
const (
	ChangeAdded   ChangeKind = "added"
	ChangeChanged ChangeKind = "changed"
	ChangeRemoved ChangeKind = "removed"
)

// Change is one difference between two sets of documents.
type Change struct {
	Kind     ChangeKind `json:"change"`
	Document string     `json:"document"`
	// Entry is the part of the document that differs; empty if the whole document is
	// added or removed, or if no field that instances read differs.
	Entry string `json:"entry,omitempty"`
	// Field is the field that differs; empty if the whole entry is added or removed.
	Field string `json:"field,omitempty"`
	Old   string `json:"old,omitempty"`
	New   string `json:"new,omitempty"`
}

// String returns the change as one line.
func (change Change) String() string {
	text := string(change.Kind) + " " + joinNonEmpty(change.Document, change.Entry, change.Field)
	switch {
	case change.Kind == ChangeChanged && change.Entry == "":
		return text + ": no field that instances read"
	case change.Kind == ChangeChanged:
		return text + ": " + quoteEmpty(change.Old) + " -> " + quoteEmpty(change.New)
	case change.Field != "":
		return text + ": " + quoteEmpty(change.Old+change.New)
	}
	return text
}

// quoteEmpty returns text, or quotes if it is empty.
func quoteEmpty(text string) string {
	if text == "" {
		return `""`
	}
	return text
}

// joinNonEmpty joins the parts that are not empty.
func joinNonEmpty(parts ...string) string {
	return strings.Join(slices.DeleteFunc(parts, func(part string) bool { return part == "" }), ": ")
}

// Compare returns what differs between the documents in force and the proposed ones,
// sorted by document, entry and field.
func Compare(inForce, proposed []api.DecodedDocument) []Change {
	var changes []Change
	compareMaps(byKey(inForce), byKey(proposed), func(kind ChangeKind, key string, old, next api.DecodedDocument) {
		if kind != ChangeChanged {
			changes = append(changes, Change{Kind: kind, Document: key})
			return
		}
		entryChanges := compareEntries(key, old, next)
		if len(entryChanges) == 0 && !bytes.Equal(old.Document.Value, next.Document.Value) {
			changes = append(changes, Change{Kind: kind, Document: key})
		}
		changes = append(changes, entryChanges...)
	})
	return changes
}

// compareEntries returns what differs between two documents of one key.
func compareEntries(key string, old, next api.DecodedDocument) []Change {
	var changes []Change
	compareMaps(fieldsByEntry(old), fieldsByEntry(next), func(kind ChangeKind, entry string, oldFields, newFields map[string]string) {
		if kind != ChangeChanged {
			changes = append(changes, Change{Kind: kind, Document: key, Entry: entry})
			return
		}
		compareMaps(oldFields, newFields, func(kind ChangeKind, field string, oldText, newText string) {
			if kind != ChangeChanged || oldText != newText {
				changes = append(changes, Change{Kind: kind, Document: key, Entry: entry, Field: field, Old: oldText, New: newText})
			}
		})
	})
	return changes
}

// compareMaps calls visit for each key of either map, in their order. The kind is
// ChangeChanged for all keys that are in both maps.
func compareMaps[V any](old, next map[string]V, visit func(kind ChangeKind, key string, old, next V)) {
	keys := slices.Concat(slices.Collect(maps.Keys(old)), slices.Collect(maps.Keys(next)))
	slices.Sort(keys)
	for _, key := range slices.Compact(keys) {
		oldValue, isOld := old[key]
		newValue, isNew := next[key]
		kind := ChangeChanged
		switch {
		case !isOld:
			kind = ChangeAdded
		case !isNew:
			kind = ChangeRemoved
		}
		visit(kind, key, oldValue, newValue)
	}
}

// byKey returns documents by their keys.
func byKey(documents []api.DecodedDocument) map[string]api.DecodedDocument {
	decodedByKey := make(map[string]api.DecodedDocument, len(documents))
	for _, decoded := range documents {
		decodedByKey[decoded.Document.Key] = decoded
	}
	return decodedByKey
}

// fieldsByEntry returns the fields of each entry of a document, as text by name.
func fieldsByEntry(decoded api.DecodedDocument) map[string]map[string]string {
	entries := make(map[string]map[string]string)
	forEachEntry(decoded, func(entry string, content any) {
		entries[entry] = make(map[string]string)
		addFields(entries[entry], "", reflect.ValueOf(content))
	})
	return entries
}

// addFields adds the fields of a struct to fields, under the names that documents use.
// Fields without a name in documents are left out.
func addFields(fields map[string]string, prefix string, content reflect.Value) {
	for index := range content.NumField() {
		name, _, _ := strings.Cut(content.Type().Field(index).Tag.Get("toml"), ",")
		switch name {
		case "-":
		case "":
			name = content.Type().Field(index).Name
			name = strings.ToLower(name[:1]) + name[1:]
			fallthrough
		default:
			addField(fields, prefix+name, content.Field(index))
		}
	}
}

// addField adds one field to fields. An element of a list has the name of the list with
// what tells the elements apart, and an element of a map that of the map with its key.
func addField(fields map[string]string, name string, field reflect.Value) {
	switch content := field.Interface().(type) {
	case []api.UpstreamWeight:
		for _, upstreamweight := range content {
			fields[name+"["+upstreamweight.Upstream+"]"] = fmt.Sprint(upstreamweight.Weight)
		}
	case []api.Route:
		for _, route := range content {
			fields[name+"["+route.Host+route.Prefix+"]"] = route.Kind
		}
	case []api.Selector:
		for _, selector := range content {
			addFields(fields, name+"["+selector.Kind+"].", reflect.ValueOf(selector))
		}
	case map[string]string:
		for key, value := range content {
			fields[name+"."+key] = value
		}
	case map[string][]string:
		for key, values := range content {
			fields[name+"."+key] = strings.Join(values, ", ")
		}
	default:
		fields[name] = fmt.Sprint(content)
	}
}
