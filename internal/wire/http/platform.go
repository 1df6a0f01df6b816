package http

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
)

const (
	headerRevision = "Revision"
	headerDeleted  = "Deleted"
	keysPath       = "/v1/keys"
	// watchMargin is how long a watch may take beyond its own wait.
	watchMargin = 2 * time.Second
)

// PlatformError reports a call to the configuration service that failed.
type PlatformError struct {
	Step   string
	Peer   string
	Status int
	Cause  error
}

// Error names the step and the peer.
func (platformerror *PlatformError) Error() string {
	text := platformerror.Step + " platform " + platformerror.Peer
	if platformerror.Cause != nil {
		return text + ": " + platformerror.Cause.Error()
	}
	return text + ": status " + strconv.Itoa(platformerror.Status)
}

// Unwrap returns the cause.
func (platformerror *PlatformError) Unwrap() error { return platformerror.Cause }

// Platform calls the configuration service at one address.
type Platform struct {
	Address string
	Client  *http.Client
}

// Peer returns the service's address.
func (platform Platform) Peer() string { return platform.Address }

// Changes returns the documents that are newer than revision after. It waits
// up to wait for one, and reads those whose listed revision is above the known
// one.
func (platform Platform) Changes(ctx context.Context, after uint64, wait time.Duration, known func(key string) uint64) (api.Changes, error) {
	listing, err := platform.Watch(ctx, after, wait)
	if err != nil {
		return api.Changes{}, err
	}
	changes := api.Changes{Revision: listing.Revision}
	for _, key := range listing.Keys {
		if key.Revision <= known(key.Key) {
			continue
		}
		document, err := platform.Read(ctx, key.Key)
		if err != nil {
			return changes, err
		}
		if document.Revision < key.Revision {
			// An older document than the one listed makes the answer stale.
			changes.Revision = min(changes.Revision, document.Revision)
		}
		changes.Documents = append(changes.Documents, document)
	}
	return changes, nil
}

// Watch lists the keys that are newer than revision. It waits up to wait for
// one; after 0 it lists all keys at once.
func (platform Platform) Watch(ctx context.Context, after uint64, wait time.Duration) (api.Listing, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+watchMargin)
	defer cancel()
	query := url.Values{
		"after":      {strconv.FormatUint(after, 10)},
		"waitMillis": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	response, err := platform.get(ctx, "watch", keysPath+"?"+query.Encode())
	if err != nil {
		return api.Listing{}, err
	}
	defer response.Body.Close()
	var listing api.Listing
	if err := json.NewDecoder(response.Body).Decode(&listing); err != nil {
		return listing, &PlatformError{Step: "watch", Peer: platform.Address, Cause: err}
	}
	return listing, nil
}

// Read returns the document of one key.
func (platform Platform) Read(ctx context.Context, key string) (api.Document, error) {
	ctx, cancel := context.WithTimeout(ctx, watchMargin)
	defer cancel()
	response, err := platform.get(ctx, "read", keysPath+"/"+key)
	if err != nil {
		return api.Document{}, err
	}
	defer response.Body.Close()
	revision, err := strconv.ParseUint(response.Header.Get(headerRevision), 10, 64)
	if err != nil {
		return api.Document{}, &PlatformError{Step: "read", Peer: platform.Address, Cause: errors.Wrap(err, headerRevision)}
	}
	value, err := io.ReadAll(io.LimitReader(response.Body, api.MaxDocumentBytes+1))
	if err != nil {
		return api.Document{}, &PlatformError{Step: "read", Peer: platform.Address, Cause: err}
	}
	isDeleted := response.Header.Get(headerDeleted) != ""
	return api.Document{Key: key, Revision: revision, Value: value, IsDeleted: isDeleted}, nil
}

func (platform Platform) get(ctx context.Context, step, path string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+platform.Address+path, nil)
	if err != nil {
		return nil, &PlatformError{Step: step, Peer: platform.Address, Cause: err}
	}
	response, err := platform.Client.Do(request)
	if err != nil {
		return nil, &PlatformError{Step: step, Peer: platform.Address, Cause: err}
	}
	if response.StatusCode != http.StatusOK {
		response.Body.Close()
		return nil, &PlatformError{Step: step, Peer: platform.Address, Status: response.StatusCode}
	}
	return response, nil
}

// DecodeWatch reads the parameters of a watch as the service receives it.
func DecodeWatch(request *http.Request) (uint64, time.Duration) {
	query := request.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	millis, _ := strconv.ParseInt(query.Get("waitMillis"), 10, 64)
	return after, time.Duration(millis) * time.Millisecond
}

// WriteDocument writes a document as the service answers it.
func WriteDocument(writer http.ResponseWriter, document api.Document) {
	writer.Header().Set(headerRevision, strconv.FormatUint(document.Revision, 10))
	if document.IsDeleted {
		writer.Header().Set(headerDeleted, "true")
	}
	writer.Header().Set("Content-Length", strconv.Itoa(len(document.Value)))
	_, _ = writer.Write(document.Value)
}
