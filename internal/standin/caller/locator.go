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

// locator keeps the answer to which instances to use for its keep time.
type locator struct {
	entries []string
	client  *http.Client

	mutex     sync.Mutex
	addresses api.Addresses
	until     time.Time
	isAsking  bool
}

// pick returns one of the instances by weight. The caller that finds the list
// out of date asks anew while others go on with the old one.
func (locator *locator) pick(ctx context.Context) (wire.InstanceClient, error) {
	locator.mutex.Lock()
	isStale := time.Now().After(locator.until) && !locator.isAsking
	if isStale {
		locator.isAsking = true
	}
	locator.mutex.Unlock()
	if isStale {
		if err := locator.refresh(ctx); err != nil {
			return wire.InstanceClient{}, err
		}
	}
	locator.mutex.Lock()
	defer locator.mutex.Unlock()
	return wire.InstanceClient{Address: choose(locator.addresses.Instances), Client: locator.client}, nil
}

func choose(addresses []api.Address) string {
	total := 0
	for _, address := range addresses {
		total += address.Weight
	}
	at := rand.N(max(total, 1))
	for _, address := range addresses {
		at -= address.Weight
		if at < 0 {
			return address.Address
		}
	}
	return ""
}

// refresh asks known instances, and then the first entries, until one answers.
func (locator *locator) refresh(ctx context.Context) error {
	var candidates []string
	locator.mutex.Lock()
	for _, address := range locator.addresses.Instances {
		candidates = append(candidates, address.Address)
	}
	locator.mutex.Unlock()
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	candidates = append(candidates, locator.entries...)
	for _, candidate := range candidates {
		addresses, err := locator.ask(ctx, candidate)
		if err == nil && len(addresses.Instances) > 0 {
			locator.keep(addresses)
			return nil
		}
	}
	locator.mutex.Lock()
	defer locator.mutex.Unlock()
	locator.isAsking = false
	if len(locator.addresses.Instances) > 0 {
		return nil
	}
	return errors.New("locate: no instance answered")
}

func (locator *locator) ask(ctx context.Context, address string) (api.Addresses, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), locateTimeout)
	defer cancel()
	return wire.InstanceClient{Address: address, Client: locator.client}.Instances(ctx)
}

func (locator *locator) keep(addresses api.Addresses) {
	locator.mutex.Lock()
	defer locator.mutex.Unlock()
	locator.addresses = addresses
	locator.until = time.Now().Add(time.Duration(addresses.KeepMillis) * time.Millisecond)
	locator.isAsking = false
}
