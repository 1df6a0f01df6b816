package view

import "strings"

// Routes maps the host and path of a caller's request to a scope.
type Routes map[RouteKey]RouteTarget

// RouteKey is a host and a path prefix that begins and ends with a slash.
type RouteKey struct {
	Host   string
	Prefix string
}

// RouteTarget names the scope and the kind of the requests under a route.
type RouteTarget struct {
	Scope string
	Kind  string
}

// Find returns the target of the longest prefix of path that has a route for
// host. It returns false if there is none.
func (routes Routes) Find(host, path string) (RouteTarget, bool) {
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if target, isKnown := routes[RouteKey{Host: host, Prefix: path[:end+1]}]; isKnown {
			return target, true
		}
	}
	return RouteTarget{}, false
}
