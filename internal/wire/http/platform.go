package http

import (
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
)

const (
	headerRevision = "Revision"
	headerDeleted  = "Deleted"
	// headerEra holds the service's era in every answer; without it the era is 0.
	headerEra = "Era"
	keysPath  = "/v1/keys"
	// callTimeout bounds a read, and the time that a watch takes beyond its own
	// wait.
	callTimeout = 2 * time.Second
	// maxListingBytes is the largest list of changed keys that is read.
	maxListingBytes = 16 << 20
)

// PlatformError reports a failed call to the configuration service. Cause is nil
// if the service answered with a status other than 200.
type PlatformError struct {
	// Step is what failed, such as "read"; the text of the error continues with
	// the service.
	Step string
	// Peer is the address of the service.
	Peer string
	// Status is the HTTP status of the answer; it is 0 if Cause is set.
	Status int
	// Cause is the underlying error.
	Cause error
}

// Error returns the step, the peer, and the cause or the status.
func (platformerror *PlatformError) Error() string {
	text := platformerror.Step + " platform " + platformerror.Peer
	if platformerror.Cause != nil {
		return text + ": " + platformerror.Cause.Error()
	}
	return text + ": status " + strconv.Itoa(platformerror.Status)
}

// Unwrap returns the cause.
func (platformerror *PlatformError) Unwrap() error { return platformerror.Cause }

// PlatformClient sends requests to the configuration service at one address.
type PlatformClient struct {
	// Address is the host and port of the service.
	Address string
	Client  *http.Client
	// MaxBytes bounds the list of keys of one answer. The documents that are read after it
	// exceed MaxBytes by one at most. 0 means maxListingBytes for the list and no bound for
	// the documents.
	MaxBytes int64
	// Reduce may drop the value of a document that cannot be used; nil keeps all values.
	Reduce func(document api.Document) api.Document
}

// Peer returns the service's address.
func (platformclient PlatformClient) Peer() string { return platformclient.Address }

// Changes returns the documents that are newer than revision after, and waits up
// to wait until there is one. It skips documents whose listed version is not
// after the one that knownVersion returns for their key. If the documents exceed
// MaxBytes, it returns those of the lowest revisions, and the others with the next call; if
// after is 0, those of the first keys, and the others with NextPage. The error is
// api.ErrHistoryGone for status 410, and of type *PlatformError otherwise.
func (platformclient PlatformClient) Changes(ctx context.Context, after uint64, wait time.Duration, knownVersion func(key string) api.Version) (api.Changes, error) {
	if after == 0 {
		return platformclient.page(ctx, "", knownVersion)
	}
	listing, err := platformclient.Watch(ctx, after, wait)
	if err != nil {
		return api.Changes{Era: listing.Era}, err
	}
	slices.SortFunc(listing.Keys, func(a, b api.KeyRevision) int { return cmp.Compare(a.Revision, b.Revision) })
	changes, last, err := platformclient.readListed(ctx, listing, knownVersion)
	if err == nil && last < len(listing.Keys)-1 {
		changes.Revision, changes.IsPart = min(changes.Revision, listing.Keys[last].Revision), true
	}
	return changes, err
}

// NextPage returns the documents of a listing of all documents whose keys follow after.
func (platformclient PlatformClient) NextPage(ctx context.Context, after string) (api.Changes, error) {
	return platformclient.page(ctx, after, func(string) api.Version { return api.Version{} })
}

// page lists all keys and reads the documents of those that follow after, as far as they
// do not exceed MaxBytes.
func (platformclient PlatformClient) page(ctx context.Context, after string, knownVersion func(key string) api.Version) (api.Changes, error) {
	listing, err := platformclient.Watch(ctx, 0, 0)
	if err != nil {
		return api.Changes{Era: listing.Era}, err
	}
	listing.Keys = slices.DeleteFunc(listing.Keys, func(key api.KeyRevision) bool { return key.Key <= after })
	slices.SortFunc(listing.Keys, func(a, b api.KeyRevision) int { return strings.Compare(a.Key, b.Key) })
	changes, last, err := platformclient.readListed(ctx, listing, knownVersion)
	if err == nil && last < len(listing.Keys)-1 {
		changes.Next = listing.Keys[last].Key
	}
	return changes, err
}

// readListed reads the documents of the listed keys in their order, as far as they do not
// exceed MaxBytes but at least one. It also returns the index of the last key that was
// read or skipped.
func (platformclient PlatformClient) readListed(ctx context.Context, listing api.Listing, knownVersion func(key string) api.Version) (api.Changes, int, error) {
	changes := api.Changes{Era: listing.Era, Revision: listing.Revision}
	documentBytes := int64(0)
	for index, key := range listing.Keys {
		key.Era = listing.Era
		if !key.Version().After(knownVersion(key.Key)) {
			continue
		}
		document, err := platformclient.Read(ctx, key.Key)
		if err == nil && document.Era != listing.Era {
			err = &PlatformError{Step: "read", Peer: platformclient.Address, Cause: errors.WithStack(api.ErrRestored)}
		}
		if err != nil {
			return api.Changes{Era: document.Era}, index, err
		}
		if document.Revision < key.Revision {
			// The read returned an older revision than the listing, so the
			// result is only as recent as that document.
			changes.Revision = min(changes.Revision, document.Revision)
		}
		if platformclient.Reduce != nil {
			document = platformclient.Reduce(document)
		}
		changes.Documents = append(changes.Documents, document)
		documentBytes += int64(len(document.Value))
		if platformclient.MaxBytes > 0 && documentBytes > platformclient.MaxBytes {
			return changes, index, nil
		}
	}
	return changes, len(listing.Keys) - 1, nil
}

// Watch lists the keys that changed after revision after, and waits up to wait
// until there is one. If after is 0, it lists all keys without waiting. The error is
// api.ErrHistoryGone for status 410, and of type *PlatformError otherwise.
func (platformclient PlatformClient) Watch(ctx context.Context, after uint64, wait time.Duration) (api.Listing, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	query := url.Values{
		"after":      {strconv.FormatUint(after, 10)},
		"waitMillis": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	response, era, err := platformclient.get(ctx, "watch", keysPath+"?"+query.Encode())
	listing := api.Listing{Era: era}
	if err != nil {
		return listing, err
	}
	defer response.Body.Close()
	maxBytes := int64(maxListingBytes)
	if platformclient.MaxBytes > 0 {
		maxBytes = min(maxBytes, platformclient.MaxBytes)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxBytes)).Decode(&listing); err != nil {
		return listing, &PlatformError{Step: "watch", Peer: platformclient.Address, Cause: err}
	}
	return listing, nil
}

// Read returns the document of one key. Its errors are of type *PlatformError; beside
// one, the document has the era of the answer if there was one.
func (platformclient PlatformClient) Read(ctx context.Context, key string) (api.Document, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, era, err := platformclient.get(ctx, "read", keysPath+"/"+key)
	if err != nil {
		return api.Document{Era: era}, err
	}
	defer response.Body.Close()
	revision, err := strconv.ParseUint(response.Header.Get(headerRevision), 10, 64)
	if err != nil {
		return api.Document{Era: era}, &PlatformError{Step: "read", Peer: platformclient.Address, Cause: errors.Wrap(err, headerRevision)}
	}
	value, err := io.ReadAll(io.LimitReader(response.Body, api.MaxDocumentBytes+1))
	if err != nil {
		return api.Document{Era: era}, &PlatformError{Step: "read", Peer: platformclient.Address, Cause: err}
	}
	isDeleted := response.Header.Get(headerDeleted) != ""
	return api.Document{Key: key, Era: era, Revision: revision, Value: value, IsDeleted: isDeleted}, nil
}

// get sends a GET request and returns the response, if its status is 200, and the era
// that it states. The caller closes the response body.
func (platformclient PlatformClient) get(ctx context.Context, step, path string) (*http.Response, uint64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+platformclient.Address+path, nil)
	if err != nil {
		return nil, 0, &PlatformError{Step: step, Peer: platformclient.Address, Cause: err}
	}
	response, err := Do(platformclient.Client, request)
	if err != nil {
		return nil, 0, &PlatformError{Step: step, Peer: platformclient.Address, Cause: err}
	}
	era, err := ParseEra(response.Header.Get(headerEra))
	switch {
	case err != nil:
		err = &PlatformError{Step: step, Peer: platformclient.Address, Cause: err}
	case response.StatusCode == http.StatusGone:
		err = errors.WithStack(api.ErrHistoryGone)
	case response.StatusCode != http.StatusOK:
		err = &PlatformError{Step: step, Peer: platformclient.Address, Status: response.StatusCode}
	default:
		return response, era, nil
	}
	response.Body.Close()
	return nil, era, err
}

// ParseEra returns the era that the text of a header states, or 0 if the text is empty.
// The error for any other text is api.ErrUnreadable.
func ParseEra(text string) (uint64, error) {
	if text == "" {
		return 0, nil
	}
	era, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, errors.WithMessagef(api.ErrUnreadable, "era %.40q", text)
	}
	return era, nil
}

// WriteEra states the service's era in the head of an answer.
func WriteEra(writer http.ResponseWriter, era uint64) {
	writer.Header().Set(headerEra, strconv.FormatUint(era, 10))
}

// DecodeWatch returns the revision and the wait time of a watch request. A
// parameter that is missing or invalid is 0.
func DecodeWatch(request *http.Request) (uint64, time.Duration) {
	query := request.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	millis, _ := strconv.ParseInt(query.Get("waitMillis"), 10, 64)
	return after, time.Duration(millis) * time.Millisecond
}

// WriteDocument writes a document in the form in which PlatformClient.Read
// expects it.
func WriteDocument(writer http.ResponseWriter, document api.Document) {
	writer.Header().Set(headerRevision, strconv.FormatUint(document.Revision, 10))
	if document.IsDeleted {
		writer.Header().Set(headerDeleted, "true")
	}
	writer.Header().Set("Content-Length", strconv.Itoa(len(document.Value)))
	_, _ = writer.Write(document.Value)
}
