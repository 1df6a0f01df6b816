package caller

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/mimosaspring/mimosaspring/internal/state/api"
	wire "github.com/mimosaspring/mimosaspring/internal/wire/http"
)

const locateTimeout = time.Second

// locator caches the list of instances to send requests to, for the keep time
// that comes with the list.
type locator struct {
	// entryAddresses holds the addresses of instances to ask if no listed one
	// answers.
	entryAddresses []string
	client         *http.Client

	// mutex guards the fields below.
	mutex        sync.Mutex
	addresses    api.Addresses
	expiry       time.Time
	isRefreshing bool
}

// pick returns a client of one instance, selected at random by weight. The first
// call after the list expired refreshes it, while concurrent calls use the old
// list. pick fails if the refresh does.
func (locator *locator) pick(ctx context.Context) (wire.InstanceClient, error) {
	locator.mutex.Lock()
	needsRefresh := time.Now().After(locator.expiry) && !locator.isRefreshing
	if needsRefresh {
		locator.isRefreshing = true
	}
	locator.mutex.Unlock()
	if needsRefresh {
		if err := locator.refresh(ctx); err != nil {
			return wire.InstanceClient{}, err
		}
	}
	locator.mutex.Lock()
	defer locator.mutex.Unlock()
	return wire.InstanceClient{Address: pickAddress(locator.addresses.Instances), Client: locator.client}, nil
}

// pickAddress returns one of addresses, selected at random by weight, or "" if
// there is none.
func pickAddress(addresses []api.Address) string {
	total := 0
	for _, address := range addresses {
		total += address.Weight
	}
	draw := rand.N(max(total, 1))
	for _, address := range addresses {
		draw -= address.Weight
		if draw < 0 {
			return address.Address
		}
	}
	return ""
}

// refresh asks for a new list: first the listed instances in random order, then
// the entry addresses, until one answers. It fails only if none answers and no
// list is cached.
func (locator *locator) refresh(ctx context.Context) error {
	var candidates []string
	locator.mutex.Lock()
	for _, address := range locator.addresses.Instances {
		candidates = append(candidates, address.Address)
	}
	locator.mutex.Unlock()
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	candidates = append(candidates, locator.entryAddresses...)
	for _, candidate := range candidates {
		addresses, err := locator.fetch(ctx, candidate)
		if err == nil && len(addresses.Instances) > 0 {
			locator.store(addresses)
			return nil
		}
	}
	locator.mutex.Lock()
	defer locator.mutex.Unlock()
	locator.isRefreshing = false
	if len(locator.addresses.Instances) > 0 {
		return nil
	}
	return errors.New("locate: no instance answered")
}

// fetch asks the instance at address for the list. The end of ctx doesn't cancel
// it, because the new list is for later requests too.
func (locator *locator) fetch(ctx context.Context, address string) (api.Addresses, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), locateTimeout)
	defer cancel()
	return wire.InstanceClient{Address: address, Client: locator.client}.Instances(ctx)
}

func (locator *locator) store(addresses api.Addresses) {
	locator.mutex.Lock()
	defer locator.mutex.Unlock()
	locator.addresses = addresses
	locator.expiry = time.Now().Add(time.Duration(addresses.KeepMillis) * time.Millisecond)
	locator.isRefreshing = false
}
