package main

// route is a route of the operator's configuration.
type route struct {
	Name            string   `json:"name"`
	Host            string   `json:"hostname"`
	Prefix          string   `json:"prefix"`
	Type            string   `json:"route_type"`
	TimeoutMS       int      `json:"timeout_ms"`
	TargetLatencyMS int      `json:"target_latency_ms"`
	Priority        int      `json:"priority"`
	Service         string   `json:"service,omitempty"`
	Gather          []string `json:"gather,omitempty"`
	MaxAttempts     int      `json:"max_attempts"`
	TopK            int      `json:"top_k,omitempty"`
	MinCoverage     float64  `json:"min_coverage,omitempty"`
}

// service is a service of the operator's configuration.
type service struct {
	Name       string `json:"name"`
	HealthPath string `json:"health_path"`
	MaxConns   int    `json:"max_conns"`
	Protocol   string `json:"protocol"`
	TLS        bool   `json:"tls"`
}

// limits bounds what callers may send.
type limits struct {
	MaxHeaderBytes  int `json:"max_header_bytes"`
	MaxBodyBytes    int `json:"max_body_bytes"`
	HeaderTimeoutMS int `json:"header_timeout_ms"`
	IdleTimeoutMS   int `json:"idle_timeout_ms"`
}

// configuration is the document that the operator writes.
type configuration struct {
	Version  int       `json:"version"`
	Routes   []route   `json:"routes"`
	Services []service `json:"services"`
	Limits   limits    `json:"limits"`
}

// publish writes the configuration with the given routes and services.
func (site *site) publish(version int, routes []route, services []service) {
	site.store.put("op/config", configuration{Version: version, Routes: routes, Services: services, Limits: limits{MaxHeaderBytes: 16384, MaxBodyBytes: maxBody, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15000}})
}
