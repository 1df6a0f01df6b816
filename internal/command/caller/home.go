package caller

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	mathrand "math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/mimosaspring/mimosaspring/internal/command/upstream"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/settings"
	"github.com/mimosaspring/mimosaspring/internal/state/table"
	"github.com/mimosaspring/mimosaspring/internal/wire/cbor"
)

const (
	secretBytes    = 32
	signatureBytes = 16
)

// Home issues idempotency keys, runs the command of each key at most once, and
// holds its outcome until the key expires. It also holds the outcomes that a
// stopped home handed over to it; this instance is then that home's successor.
type Home struct {
	self        api.Member
	settings    settings.Callers
	sendCommand func(ctx context.Context, command api.Command) api.Result
	// secret signs the keys of this home. It is new in each incarnation.
	secret [secretBytes]byte
	// commands holds the commands with keys of this home, by key.
	commands *table.Table[string, *commandEntry]
	// inheritedCommands holds the ended commands of homes that stopped, by key.
	inheritedCommands *table.Table[string, *commandEntry]

	// mutex guards isClosed. add also holds it while it adds to runningCommands, so that
	// none is added once the home is closed.
	mutex sync.Mutex
	// isClosed is set during a planned stop, when keys that were not used yet are
	// no longer accepted.
	isClosed bool
	// runningCommands counts the commands that have no outcome yet.
	runningCommands sync.WaitGroup
	// inheritedHomes holds the homes that stopped and whose outcomes are all in
	// inheritedCommands, until all of their keys have expired.
	inheritedHomes *table.Table[inheritedHome, struct{}]
}

// inheritedHome names one incarnation of a home that stopped.
type inheritedHome struct {
	name        string
	incarnation uint64
}

// maxInheritedHomes is the number of stopped homes that are known.
const maxInheritedHomes = 4_096

// commandEntry is a command that was started with a key.
type commandEntry struct {
	// digest identifies the command, so that a key is not used for another one.
	digest uint64
	// done is closed once result is set.
	done   chan struct{}
	result api.Result
}

// NewHome returns the home of one incarnation of an instance. It fails if the
// system gives no random bytes for the key secret.
func NewHome(self api.Member, settings settings.Callers, sendCommand func(context.Context, api.Command) api.Result) (*Home, error) {
	home := &Home{
		self:              self,
		settings:          settings,
		sendCommand:       sendCommand,
		commands:          table.New[string, *commandEntry](settings.MaxKeys),
		inheritedCommands: table.New[string, *commandEntry](settings.MaxKeys),
		inheritedHomes:    table.New[inheritedHome, struct{}](maxInheritedHomes),
	}
	_, err := rand.Read(home.secret[:])
	return home, errors.Wrap(err, "generate key secret")
}

// Issue returns a new signed key of this home. It holds no state for the key
// until the key is used.
func (home *Home) Issue(now time.Time) (api.IssuedKey, error) {
	expires := now.Add(home.settings.KeyLifetime.Duration)
	key := api.IdempotencyKey{
		Home:          home.self.Instance.Name,
		Incarnation:   home.self.Incarnation,
		ExpiresMillis: expires.UnixMilli(),
		Nonce:         mathrand.Uint64(),
	}
	signature, err := home.sign(key)
	if err != nil {
		return api.IssuedKey{}, err
	}
	text, err := cbor.EncodeKey(api.SignedKey{Key: key, Signature: signature})
	return api.IssuedKey{Key: text, ExpiresAt: key.ExpiresAt()}, err
}

// sign returns the truncated HMAC of key's encoded form.
func (home *Home) sign(key api.IdempotencyKey) ([]byte, error) {
	encoded, err := cbor.Marshal(key)
	if err != nil {
		return nil, err
	}
	mac := hmac.New(sha256.New, home.secret[:])
	mac.Write(encoded)
	return mac.Sum(nil)[:signatureBytes], nil
}

// Run runs a keyed command, or returns the outcome that is stored for its key.
func (home *Home) Run(ctx context.Context, command api.Command) api.Result {
	signed, err := cbor.DecodeKey(command.Key)
	if err != nil {
		return invalidKeyResult(err.Error())
	}
	if signed.Key.Home != home.self.Instance.Name || signed.Key.Incarnation != home.self.Incarnation {
		return home.runInherited(signed.Key, command)
	}
	signature, err := home.sign(signed.Key)
	if err != nil || !hmac.Equal(signature, signed.Signature) {
		return invalidKeyResult("its signature is not of this home")
	}
	if time.Now().After(signed.Key.ExpiresAt()) {
		return unknownResult("the key has expired; an earlier request with it may have run")
	}
	return home.runOnce(ctx, signed.Key, command)
}

// runOnce sends command if its key is used for the first time, and else waits
// for the outcome of the first request with the key. The entry of a command that
// did not run is deleted, so that the key can be used again.
func (home *Home) runOnce(ctx context.Context, key api.IdempotencyKey, command api.Command) api.Result {
	newEntry := &commandEntry{digest: commandDigest(command), done: make(chan struct{})}
	entry, isFirst, refusal := home.add(key, command.Key, newEntry)
	if refusal != "" {
		return notRunResult(refusal)
	}
	if !isFirst {
		return awaitOutcome(ctx, entry, newEntry.digest)
	}
	defer home.runningCommands.Done()
	detached, cancel := detach(ctx)
	defer cancel()
	entry.result = home.sendCommand(detached, command)
	if entry.result.Outcome == api.OutcomeNotRun {
		home.commands.Delete(command.Key)
	}
	close(entry.done)
	return entry.result
}

// detach returns a context with the deadline of ctx but without its
// cancellation, so that a command goes on after its caller disconnects.
func detach(ctx context.Context) (context.Context, context.CancelFunc) {
	detached := context.WithoutCancel(ctx)
	if deadline, isSet := ctx.Deadline(); isSet {
		return context.WithDeadline(detached, deadline)
	}
	return context.WithCancel(detached)
}

// add returns the entry of the key with the given text. If the key has none yet,
// add adds newEntry and returns it and true; the caller must then call
// runningCommands.Done. If none can be added, because the home is closed or its
// table is full, add returns nil and the reason.
func (home *Home) add(key api.IdempotencyKey, text string, newEntry *commandEntry) (*commandEntry, bool, string) {
	home.mutex.Lock()
	defer home.mutex.Unlock()
	if home.isClosed {
		entry, isKnown := home.commands.Get(text)
		if !isKnown {
			return nil, false, "the key's home is stopping; take a new key"
		}
		return entry, false, ""
	}
	entry, isFirst, err := home.commands.GetOrAdd(text, newEntry, key.ExpiresAt(), time.Now())
	if err != nil {
		return nil, false, err.Error()
	}
	if isFirst {
		home.runningCommands.Add(1)
	}
	return entry, isFirst, ""
}

// awaitOutcome waits until the command of entry has ended, and returns its
// outcome. It refuses a command with another digest than that of entry, and
// answers unknown if ctx ends first.
func awaitOutcome(ctx context.Context, entry *commandEntry, digest uint64) api.Result {
	if entry.digest != digest {
		return upstream.InvalidResult(&api.InvalidError{Field: "key", Value: "in use", Allowed: "the same command as the first time"})
	}
	select {
	case <-entry.done:
		return entry.result
	case <-ctx.Done():
		return unknownResult("an earlier request with the key is still running")
	}
}

// commandDigest returns a hash of all fields that make two commands the same. A
// zero byte ends each field, so that text cannot move from one to the next.
func commandDigest(command api.Command) uint64 {
	hash := xxhash.New()
	for _, field := range []string{command.Scope, command.Kind, command.Shard, string(command.Body)} {
		_, _ = hash.WriteString(field)
		_, _ = hash.WriteString("\x00")
	}
	return hash.Sum64()
}

// invalidKeyResult returns the result of a command whose key was not issued by
// the home that it names.
func invalidKeyResult(reason string) api.Result {
	return upstream.InvalidResult(&api.InvalidError{Field: "key", Value: reason, Allowed: "a key that POST /v1/keys issued"})
}

func notRunResult(reason string) api.Result {
	return api.Result{Outcome: api.OutcomeNotRun, Reason: reason}
}

func unknownResult(reason string) api.Result {
	return api.Result{Outcome: api.OutcomeUnknown, Reason: reason}
}
