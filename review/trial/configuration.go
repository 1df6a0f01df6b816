package main

import (
	"net/http"
	"strings"
	"time"
)

// registration is a request that must not run twice, and lookup one that may.
var (
	registration = callRequest{method: http.MethodPost, host: "plots.example", path: "/registrations/new", body: []byte("plot 17"), deadline: 6 * time.Second}
	lookup       = callRequest{method: http.MethodGet, host: "plots.example", path: "/lookups/17", deadline: 6 * time.Second}
)

// configuration returns the operator's configuration with one route, of the given type,
// for the requests like request.
func configuration(version int, routeType string, request callRequest, service string) map[string]any {
	prefix := request.path[:strings.LastIndexByte(request.path, '/')+1]
	return map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "ledger", "hostname": request.host, "prefix": prefix, "route_type": routeType, "service": service,
			"max_attempts": 3, "timeout_ms": request.deadline.Milliseconds(), "target_latency_ms": 400, "priority": 2,
		}},
		"services": []map[string]any{{"name": service, "max_conns": 110, "health_path": "/health"}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 5000, "idle_timeout_ms": 60000},
	}
}
