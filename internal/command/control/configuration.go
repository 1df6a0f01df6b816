package control

import (
	"time"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/message"
)

// definesConfiguration reports whether a document belongs to the configuration whose
// version peers compare: those by which all instances must act within a time.
func definesConfiguration(decoded api.DecodedDocument) bool {
	return isConfiguration(decoded) || decoded.Evacuation != nil
}

// raiseConfigurationVersion records that a document of the configuration is in force.
func raiseConfigurationVersion(state *State, version api.Version) {
	state.ConfigurationVersion = api.Latest(state.ConfigurationVersion, version)
	raiseCoveredVersion(state, version)
}

// raiseCoveredVersion records that the instance has all documents of the configuration up
// to version. It reports whether that is newer than before.
func raiseCoveredVersion(state *State, version api.Version) bool {
	if !version.After(state.CoveredVersion) {
		return false
	}
	state.CoveredVersion = version
	if !state.AnnouncedVersion.After(version) {
		state.ConfigurationLackedSince = time.Time{}
	}
	return true
}

// applyConfigurationReceived records that the instance has the whole configuration, up
// to the version that the message states.
func applyConfigurationReceived(state *State, received message.ConfigurationReceived, now time.Time) Effects {
	isLacking := !state.ConfigurationLackedSince.IsZero()
	effects := Effects{PublishStats: raiseCoveredVersion(state, received.Version)}
	// The reader goes on reading until it sees that nothing is lacked.
	effects.PublishNow = isLacking && state.ConfigurationLackedSince.IsZero()
	if received.NotBefore.After(now) {
		state.configuredFrom = received.NotBefore
		return effects
	}
	effects.merge(configure(state))
	return effects
}

// configure records that the instance may serve by the documents that it has.
func configure(state *State) Effects {
	if state.IsConfigured {
		return Effects{}
	}
	state.IsConfigured = true
	return Effects{RebuildConfiguration: true}
}

// configureInTime lets the instance serve once it has waited long enough for a peer.
func configureInTime(state *State, now time.Time) Effects {
	if state.configuredFrom.IsZero() || now.Before(state.configuredFrom) {
		return Effects{}
	}
	state.configuredFrom = time.Time{}
	return configure(state)
}

// applyConfigurationAnnounced records that a peer has a newer configuration. Unlike
// digests, which differ most of the time while replicas come and go, this tells that the
// instance lacks something by which it must act.
func applyConfigurationAnnounced(state *State, announced message.ConfigurationAnnounced, now time.Time) Effects {
	if !announced.Version.After(api.Latest(state.CoveredVersion, state.AnnouncedVersion)) {
		return Effects{}
	}
	state.AnnouncedVersion = announced.Version
	if state.ConfigurationLackedSince.IsZero() {
		state.ConfigurationLackedSince = now
	}
	return Effects{PublishStats: true}
}
