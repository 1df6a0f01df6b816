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

// Adapter is the form in which callers, replicas and the platform speak to an
// instance. It translates; it decides nothing.
type Adapter struct {
	// IsOwn is set for the project's own form, which has paths of its own for
	// callers beside the relay protocol.
	IsOwn bool
	// Names are the headers of the relay protocol.
	Names *wire.HeaderNames
	// Parse reads and checks a document of the platform. Its verdict depends on
	// the document alone.
	Parse func(document api.Document) api.DecodedDocument
	// StartReader starts the reader of the configuration service.
	StartReader func(ctx context.Context, settings settings.Settings, part *control.Control, logger *zap.Logger)
	// Locator answers callers that ask which instances to use.
	Locator func(locate func(failureDomain string) api.Addresses) http.Handler
	// Readiness answers whether the instance should get new callers.
	Readiness func(isReady func() bool) http.Handler
}

// WithAdapter makes the instance speak the form of adapter.
func WithAdapter(adapter Adapter) Option {
	return func(instance *Instance) { instance.adapter = adapter }
}

// ownAdapter returns the project's own form.
func ownAdapter() Adapter {
	return Adapter{
		IsOwn:       true,
		Names:       &wire.DefaultHeaderNames,
		Parse:       toml.Parse,
		StartReader: startOwnReader,
		Locator:     ownLocator,
		Readiness:   ownReadiness,
	}
}

func startOwnReader(ctx context.Context, settings settings.Settings, part *control.Control, logger *zap.Logger) {
	client := &http.Client{}
	var stores []wire.PlatformClient
	for _, address := range settings.PlatformAddresses {
		stores = append(stores, wire.PlatformClient{Address: address, Client: client})
	}
	platform.NewReader(stores, toml.Parse, settings.Reading, part, logger).Start(ctx)
}

func ownLocator(locate func(failureDomain string) api.Addresses) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		wire.WriteJSON(writer, http.StatusOK, locate(request.URL.Query().Get("failureDomain")))
	})
}

func ownReadiness(isReady func() bool) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		if !isReady() {
			writer.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}
