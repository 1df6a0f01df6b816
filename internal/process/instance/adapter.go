package instance

import (
	"context"
	"net/http"

	"go.uber.org/zap"

	"github.com/mimosaspring/mimosaspring/internal/command/control"
	"github.com/mimosaspring/mimosaspring/internal/command/platform"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/settings"
	wire "github.com/mimosaspring/mimosaspring/internal/wire/http"
	"github.com/mimosaspring/mimosaspring/internal/wire/toml"
)

// Adapter holds the protocols that an instance uses with callers, replicas and
// the platform. It only converts between formats; decisions are made elsewhere.
type Adapter struct {
	// IsNative is set for the system's own interface, which serves queries and
	// commands of callers on paths under /v1 in addition to the relay protocol.
	IsNative bool
	// RelayHeaders names the HTTP headers of the relay protocol.
	RelayHeaders *wire.HeaderNames
	// ParseDocument decodes and validates a document of the platform. Its result
	// depends only on the document.
	ParseDocument func(document api.Document) api.DecodedDocument
	// DocumentExtension is the suffix of files that hold documents.
	DocumentExtension string
	// ListDocuments returns all documents of the configuration service at address.
	ListDocuments func(ctx context.Context, address string) (api.Changes, error)
	// StartPlatformReader starts reading the platform's configuration service. The
	// reader stops when ctx ends.
	StartPlatformReader func(ctx context.Context, settings settings.Settings, control *control.Control, logger *zap.Logger)
	// LocatorHandler returns the handler for callers that ask which instances to
	// use. locate returns the addresses for a caller's failure domain.
	LocatorHandler func(locate func(failureDomain string) api.Addresses) http.Handler
	// ReadinessHandler returns the handler for checks of whether the instance
	// should get new callers.
	ReadinessHandler func(isReady func() bool) http.Handler
}

// WithAdapter makes the instance use the protocols of adapter instead of the
// system's own interface.
func WithAdapter(adapter Adapter) Option {
	return func(instance *Instance) { instance.adapter = adapter }
}

// NativeAdapter returns the adapter for the system's own interface.
func NativeAdapter() Adapter {
	return Adapter{
		IsNative:            true,
		RelayHeaders:        &wire.DefaultHeaderNames,
		ParseDocument:       toml.Parse,
		DocumentExtension:   toml.Extension,
		ListDocuments:       listDocuments,
		StartPlatformReader: startPlatformReader,
		LocatorHandler:      newLocatorHandler,
		ReadinessHandler:    newReadinessHandler,
	}
}

// startPlatformReader starts the reader of the configuration service at the
// addresses in settings.PlatformAddresses. It stops when ctx ends.
func startPlatformReader(ctx context.Context, settings settings.Settings, control *control.Control, logger *zap.Logger) {
	client := &http.Client{}
	var stores []wire.PlatformClient
	for _, address := range settings.PlatformAddresses {
		stores = append(stores, wire.PlatformClient{Address: address, Client: client, MaxBytes: settings.Process.PlatformMemory(), Reduce: withoutUnusedValue})
	}
	platform.NewReader(stores, toml.Parse, settings.Reading, control, logger).Start(ctx)
}

// withoutUnusedValue returns document without its value if it cannot be used.
func withoutUnusedValue(document api.Document) api.Document {
	return toml.Parse(document).WithoutUnusedValue().Document
}

// listDocuments returns all documents of the configuration service at address.
func listDocuments(ctx context.Context, address string) (api.Changes, error) {
	return platform.List(ctx, wire.PlatformClient{Address: address, Client: &http.Client{}})
}

// newLocatorHandler returns a handler that answers with the addresses for the
// failure domain in the query parameter failureDomain.
func newLocatorHandler(locate func(failureDomain string) api.Addresses) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		wire.WriteJSON(writer, http.StatusOK, locate(request.URL.Query().Get("failureDomain")))
	})
}

// newReadinessHandler returns a handler that answers with status 200 if the
// instance is ready, and 503 if it is not.
func newReadinessHandler(isReady func() bool) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		if !isReady() {
			writer.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}
