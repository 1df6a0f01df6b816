package api

import (
	"math"
	"net/netip"
	"strings"

	"github.com/pkg/errors"
)

// InvalidError reports that a field of a document or request has a value that
// is not allowed.
type InvalidError struct {
	Field   string
	Value   string
	Allowed string
}

// Error returns a message with the field, its value and the allowed values.
func (invaliderror *InvalidError) Error() string {
	return invaliderror.Field + " is " + quote(invaliderror.Value) + "; allowed: " + invaliderror.Allowed
}

func quote(value string) string {
	if value == "" {
		return "empty"
	}
	return `"` + value + `"`
}

func newInvalidError(field, value, allowed string) error {
	return errors.WithStack(&InvalidError{Field: field, Value: value, Allowed: allowed})
}

// ValidateAddress returns an InvalidError for field unless address is an IP
// address and a port.
func ValidateAddress(field, address string) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return newInvalidError(field, address, "an IP number and a port, as 127.0.0.1:7000")
	}
	return nil
}

// ValidateRemoteAddress returns an InvalidError for field unless address is an IP
// number and a port to which a connection can be opened, that is, other than 0.
func ValidateRemoteAddress(field, address string) error {
	if parsed, err := netip.ParseAddrPort(address); err != nil || parsed.Port() == 0 {
		return newInvalidError(field, address, "an IP number and a port from 1, as 127.0.0.1:7000")
	}
	return nil
}

// Validate returns an InvalidError for the first invalid field. It does not check
// references to other documents.
func (index Index) Validate() error {
	if index.Name == "" {
		return newInvalidError("name", "", "the index's name")
	}
	seen := make(map[string]bool, len(index.Shards))
	for _, shard := range index.Shards {
		switch {
		case shard.Name == "" || strings.ContainsAny(shard.Name, "/ "):
			return newInvalidError("shards.name", shard.Name, "a name without spaces and slashes")
		case shard.Upstream == "":
			return newInvalidError("shards.upstream", "", "the name of an upstream")
		case seen[shard.Name]:
			return newInvalidError("shards.name", shard.Name, "each shard once")
		}
		seen[shard.Name] = true
	}
	return nil
}

// Validate returns an InvalidError for the first invalid field.
func (upstreams Upstreams) Validate() error {
	seen := make(map[string]bool, len(upstreams.Upstreams))
	for _, upstream := range upstreams.Upstreams {
		switch {
		case upstream.Name == "" || upstream.Name == OwnUpstream:
			return newInvalidError("upstreams.name", upstream.Name, "a name other than "+OwnUpstream)
		case seen[upstream.Name]:
			return newInvalidError("upstreams.name", upstream.Name, "each upstream once")
		case upstream.Slots < 1:
			return newInvalidError("upstreams.slots", upstream.Name, "1 or more")
		case upstream.ConnectionLimit < 1:
			return newInvalidError("upstreams.connectionLimit", upstream.Name, "1 or more")
		case upstream.Protocol != "" && upstream.Protocol != ProtocolHTTP2 && upstream.Protocol != ProtocolHTTP1 && upstream.Protocol != ProtocolRelay:
			return newInvalidError("upstreams.protocol", upstream.Protocol, ProtocolHTTP2+", "+ProtocolHTTP1+" or "+ProtocolRelay)
		case !(upstream.ColdRate >= 0) || math.IsInf(upstream.ColdRate, 0) || upstream.ColdTime.Duration < 0:
			return newInvalidError("upstreams.coldRate", upstream.Name, "a rate and a time of 0 or more")
		case upstream.HealthPath != "" && !IsPath(upstream.HealthPath):
			return newInvalidError("upstreams.healthPath", upstream.Name, "a path of visible ASCII that begins with a slash")
		}
		seen[upstream.Name] = true
	}
	return nil
}

// IsPath reports whether text can be sent as the path of a request without being
// changed.
func IsPath(text string) bool {
	isUnsafe := func(character rune) bool { return character <= ' ' || character > '~' }
	return strings.HasPrefix(text, "/") && !strings.ContainsFunc(text, isUnsafe)
}

// Validate returns an InvalidError for the first invalid field. It does not check
// references to other documents.
func (scope Scope) Validate() error {
	switch {
	case scope.Name == "":
		return newInvalidError("name", "", "the scope's name")
	case scope.Tenant == "":
		return newInvalidError("tenant", "", "the tenant's name")
	case scope.Class == "":
		return newInvalidError("class", "", "the class's name")
	case scope.Index == "" && scope.Form != FormRelayed:
		return newInvalidError("index", "", "the name of an index")
	case scope.Aim != AimLatency && scope.Aim != AimCoverage:
		return newInvalidError("aim", string(scope.Aim), string(AimLatency)+" or "+string(AimCoverage))
	case scope.MinCoverage < 0 || scope.MinCoverage > 1:
		return newInvalidError("minCoverage", "out of range", "0 to 1")
	}
	if err := scope.validateForm(); err != nil {
		return err
	}
	seen := make(map[string]bool, len(scope.Selectors))
	for _, selector := range scope.Selectors {
		if selector.Kind == "" || seen[selector.Kind] {
			return newInvalidError("selectors.kind", selector.Kind, "each kind once")
		}
		seen[selector.Kind] = true
	}
	return nil
}

func (scope Scope) validateForm() error {
	switch {
	case scope.Form != "" && scope.Form != FormParts && scope.Form != FormMerged && scope.Form != FormRelayed:
		return newInvalidError("form", string(scope.Form), "parts, merged or relayed")
	case scope.Form == FormMerged && scope.TopK < 1:
		return newInvalidError("topK", "less than 1", "1 or more")
	case scope.Form == FormRelayed && len(scope.TrafficSplit) == 0:
		return newInvalidError("split", "", "at least one upstream")
	case scope.Form != FormRelayed && scope.IsCommand:
		return newInvalidError("command", "true", "true on relayed scopes only")
	case scope.MaxAttempts < 0:
		return newInvalidError("maxAttempts", "less than 0", "0 or more")
	case scope.Timeout.Duration < 0 || scope.TargetLatency.Duration < 0:
		return newInvalidError("timeout", "negative", "a duration of 0 or more")
	}
	for _, upstreamweight := range scope.TrafficSplit {
		if upstreamweight.Upstream == "" || !(upstreamweight.Weight >= 0) || math.IsInf(upstreamweight.Weight, 0) {
			return newInvalidError("split", upstreamweight.Upstream, "an upstream with a weight of 0 or more")
		}
	}
	for _, route := range scope.Routes {
		if !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/") {
			return newInvalidError("routes.prefix", route.Prefix, "a path that begins and ends with a slash")
		}
	}
	return nil
}

// Validate returns an InvalidError for the first invalid field. It does not check
// references to other documents.
func (instancelist InstanceList) Validate() error {
	seen := make(map[string]bool, len(instancelist.Instances))
	for _, instance := range instancelist.Instances {
		if instance.Name == "" || seen[instance.Name] {
			return newInvalidError("instances.name", instance.Name, "each instance once")
		}
		if instance.State != InstanceLive && instance.State != InstanceLeaving {
			return newInvalidError("instances.state", string(instance.State), string(InstanceLive)+" or "+string(InstanceLeaving))
		}
		if err := ValidateRemoteAddress("instances.address", instance.Address); err != nil {
			return err
		}
		if instance.Upstream == OwnUpstream {
			if err := ValidateRemoteAddress("instances.peerAddress", instance.PeerAddress); err != nil {
				return err
			}
		}
		seen[instance.Name] = true
	}
	return nil
}

// Validate returns an InvalidError if the key names no failure domain.
func (evacuation Evacuation) Validate() error {
	if evacuation.FailureDomain == "" || strings.ContainsAny(evacuation.FailureDomain, "/ ") {
		return newInvalidError("failureDomain", evacuation.FailureDomain, "a name without spaces and slashes")
	}
	return nil
}

// MatchesSelector reports whether, for each label in selector, labels holds one
// of the selector's values.
func MatchesSelector(selector map[string][]string, labels map[string]string) bool {
	for label, values := range selector {
		if !contains(values, labels[label]) {
			return false
		}
	}
	return true
}

func contains(values []string, value string) bool {
	for _, candidate := range values {
		if candidate == value {
			return true
		}
	}
	return false
}
