package instance

import (
	"net"
	"net/http"

	"github.com/mimosaspring/mimosaspring/internal/schedule/caller"
	"github.com/mimosaspring/mimosaspring/internal/state/settings"
	"github.com/mimosaspring/mimosaspring/internal/wire/tcp"
)

// server is an HTTP server and its TCP listener.
type server struct {
	listener *tcp.Listener
	http     *http.Server
}

// newServer listens on address, under the name that the guard's limits use. The server
// accepts requests after start.
func newServer(address, name string, guard *caller.Guard, callers settings.Callers) (*server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &server{
		listener: tcp.NewListener(listener, name, guard, tcp.Timeouts{Body: callers.BodyTimeout.Duration, Answer: callers.AnswerTimeout.Duration}),
		http: &http.Server{
			ReadHeaderTimeout: callers.HeaderTimeout.Duration,
			IdleTimeout:       callers.IdleTimeout.Duration,
			MaxHeaderBytes:    callers.MaxHeaderBytes,
			ConnContext:       withConn,
			ConnState:         tcp.SetState,
		},
	}, nil
}

// newOptionalServer is newServer, but returns nil without an error if address is
// empty.
func newOptionalServer(address, name string, guard *caller.Guard, callers settings.Callers) (*server, error) {
	if address == "" {
		return nil, nil
	}
	return newServer(address, name, guard, callers)
}

// address returns the address that the server listens on, with the bound port.
func (server *server) address() string { return server.listener.Addr().String() }

// start serves requests with handler in a goroutine of its own. It does nothing on
// a nil server.
func (server *server) start(handler http.Handler) {
	if server == nil {
		return
	}
	server.http.Handler = accountBodies(handler)
	go server.run()
}

func (server *server) run() { _ = server.http.Serve(server.listener) }

// accountBodies returns a handler that passes requests on to next with bodies that are
// accounted for.
func accountBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if conn := tcp.FromContext(request.Context()); conn != nil {
			body := conn.BeginBody(request.Body)
			if body != request.Body {
				// The server goes on to use its own request.
				request = request.WithContext(request.Context())
				request.Body = body
			}
		}
		next.ServeHTTP(writer, request)
	})
}
