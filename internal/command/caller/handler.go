package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/mimosaspring/mimosaspring/internal/state/metrics"
	wire "github.com/mimosaspring/mimosaspring/internal/wire/http"
)

// Handler serves the HTTP requests in which callers get keys and send commands.
type Handler struct {
	home    *Home
	router  *Router
	metrics *metrics.Metrics
}

// NewHandler returns a Handler that issues keys with home and runs commands with
// router.
func NewHandler(home *Home, router *Router, metrics *metrics.Metrics) *Handler {
	return &Handler{home: home, router: router, metrics: metrics}
}

// Register adds the paths that the handler serves to mux.
func (handler *Handler) Register(mux chi.Router) {
	mux.Post("/v1/keys", handler.postKey)
	mux.Post("/v1/scopes/{scope}/commands", handler.postCommand)
}

func (handler *Handler) postKey(writer http.ResponseWriter, _ *http.Request) {
	issued, err := handler.home.Issue(time.Now())
	if err != nil {
		wire.WriteRefusal(writer, http.StatusServiceUnavailable, err.Error(), 0)
		return
	}
	wire.WriteJSON(writer, http.StatusOK, issued)
}

// postCommand runs a command until its own deadline, also after the caller
// disconnects.
func (handler *Handler) postCommand(writer http.ResponseWriter, request *http.Request) {
	start := time.Now()
	command, err := wire.DecodeCommand(chi.URLParam(request, "scope"), request)
	if err != nil {
		wire.WriteInvalid(writer, err)
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(request.Context()), command.Deadline)
	defer cancel()
	result := handler.router.Route(ctx, command)
	handler.metrics.ObserveRequest(command.Scope, "command", string(result.Outcome), time.Since(start))
	wire.WriteResult(writer, result)
}
