package settings

import (
	"strconv"
	"time"
)

// Callers configures the interface to callers.
type Callers struct {
	// KeepTime is how long callers use a list of instances before they ask again.
	KeepTime Duration `toml:"keepTime"`
	// TargetMargin is the part of the latency, as a caller measures it, that is
	// spent outside the instance: on connection set-up and the network in both
	// directions.
	TargetMargin Duration `toml:"targetMargin"`
	// KeyLifetime is how long an idempotency key is valid.
	KeyLifetime Duration `toml:"keyLifetime"`
	// MaxKeys bounds the number of idempotency keys whose command outcomes the
	// instance stores.
	MaxKeys int `toml:"maxKeys"`
	// MaxInFlight bounds the number of requests that the instance serves
	// concurrently.
	MaxInFlight int `toml:"maxInFlight"`
	// MaxConnections bounds the connections that are open on all listeners for callers
	// and operators together; 0 means half of the descriptors that are not reserved.
	MaxConnections int `toml:"maxConnections"`
	// MemoryShare is the part of Process.MemoryBytes that may be held for callers: for
	// connections, requests and answers.
	MemoryShare float64 `toml:"memoryShare"`
	// MaxHeaderBytes bounds the head of a request.
	MaxHeaderBytes int `toml:"maxHeaderBytes"`
	// HeaderTimeout and BodyTimeout bound the time in which the head and the body of a
	// request have to arrive.
	HeaderTimeout Duration `toml:"headerTimeout"`
	BodyTimeout   Duration `toml:"bodyTimeout"`
	// IdleTimeout is how long a connection may wait for its next request.
	IdleTimeout Duration `toml:"idleTimeout"`
	// AnswerTimeout bounds the time in which a caller has to take each 32 KB of its
	// answer, beyond what the socket buffers hold.
	AnswerTimeout Duration `toml:"answerTimeout"`
}

// defaultCallers returns the settings that apply where the file sets none.
func defaultCallers() Callers {
	return Callers{
		KeepTime:       Duration{Duration: 5 * time.Second},
		TargetMargin:   Duration{Duration: 18 * time.Millisecond},
		KeyLifetime:    Duration{Duration: 10 * time.Minute},
		MaxKeys:        100_000,
		MaxInFlight:    4_096,
		MemoryShare:    0.35,
		MaxHeaderBytes: 256 << 10,
		HeaderTimeout:  Duration{Duration: 30 * time.Second},
		BodyTimeout:    Duration{Duration: 60 * time.Second},
		IdleTimeout:    Duration{Duration: 5 * time.Minute},
		AnswerTimeout:  Duration{Duration: 30 * time.Second},
	}
}

// validateCallers returns a FieldError for the first limit of callers that is not valid.
// Durations are checked with all others.
func (settings Settings) validateCallers() error {
	if settings.Callers.MaxConnections < 0 {
		return &FieldError{Key: "callers.maxConnections", Value: strconv.Itoa(settings.Callers.MaxConnections), Allowed: "0 or more"}
	}
	if settings.Process.MaxDescriptors < 0 {
		return &FieldError{Key: "process.maxDescriptors", Value: strconv.Itoa(settings.Process.MaxDescriptors), Allowed: "0 or more"}
	}
	if share := settings.Callers.MemoryShare; !(share > 0 && share <= 1) {
		return &FieldError{Key: "callers.memoryShare", Value: strconv.FormatFloat(share, 'g', -1, 64), Allowed: "more than 0, at most 1"}
	}
	return nil
}
