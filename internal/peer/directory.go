package peer

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/observe"
	"github.com/acacialink/acacialink/internal/outage"
)

// hostsPrefix is the key prefix of entry hosts' entries in the store.
const hostsPrefix = "acacialink/host/"

const (
	// entryTTL is the lease term of a host's entry: the entry of a host that
	// crashed expires after this time.
	entryTTL = 4 * time.Second
	// renewInterval is the time between renewals of a host's own entry.
	renewInterval = 1200 * time.Millisecond
	// watchWait bounds one long poll of the directory.
	watchWait = 20 * time.Second
	// watchPause is the pause after each long poll. It bounds the rate of calls
	// when many hosts join and leave.
	watchPause = time.Second
	// storeTimeout bounds one store call.
	storeTimeout = time.Second
	// retryCheckInterval is how often a directory checks whether a failed call is due again.
	retryCheckInterval = 50 * time.Millisecond
)

// Entry describes one host in the directory.
type Entry struct {
	// Host is the host's name, unique in the deployment.
	Host string `json:"host"`
	// Address is the TCP address on which the host serves its peers.
	Address string `json:"address"`
	// Domain is the host's failure domain.
	Domain string `json:"domain"`
	// Incarnation identifies one start of the host's process.
	Incarnation string `json:"incarnation"`
	// Capacity is the processor capacity of the host in cores; 0 if unknown.
	Capacity float64 `json:"capacity,omitempty"`
}

// Directory maintains the host's own entry in the store and caches the entries
// of all hosts. It is safe for concurrent use.
type Directory struct {
	self  Entry
	store backing.Store
	role  func() outage.Role
	log   *slog.Logger

	mu sync.Mutex // guards the fields below
	// hosts caches the entries of all hosts, by name.
	hosts map[string]Entry
	// version counts the changes of hosts.
	version int64
	// lease is the lease of the host's own entry; 0 if there is none.
	lease backing.LeaseID
}

// NewDirectory returns a directory for the host self, with no other hosts cached. role returns
// what the host knows of the others' calls to the store.
func NewDirectory(self Entry, store backing.Store, role func() outage.Role, log *slog.Logger) *Directory {
	return &Directory{self: self, store: store, role: role, log: log, hosts: make(map[string]Entry)}
}

// Others returns the cached entries of the other hosts, by name.
func (d *Directory) Others() map[string]Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	others := make(map[string]Entry, len(d.hosts))
	for name, e := range d.hosts {
		if name != d.self.Host {
			others[name] = e
		}
	}
	return others
}

// Version changes with each change of the cached entries.
func (d *Directory) Version() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.version
}

// Self returns the entry of this host.
func (d *Directory) Self() Entry { return d.self }

// Run maintains the host's entry and watches those of the other hosts until ctx
// is done, and then removes the host's entry.
func (d *Directory) Run(ctx context.Context) {
	var listing outage.Retry
	watcher := backing.PrefixWatcher{
		Store: d.store, Prefix: hostsPrefix, PollWait: watchWait, Timeout: storeTimeout, WatchDelay: watchPause, Replace: d.replace, Apply: d.apply,
		AwaitRetry: func(ctx context.Context) { d.awaitRetry(ctx, &listing) }, Succeeded: listing.Succeeded,
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		watcher.Run(ctx)
	}()
	var registration outage.Retry
	for ctx.Err() == nil {
		if d.renew(ctx) {
			registration.Succeeded()
			backing.Pause(ctx, renewInterval)
			continue
		}
		d.awaitRetry(ctx, &registration)
	}
	<-done
	d.revoke()
}

// awaitRetry records that a call failed and waits until the next one is due.
func (d *Directory) awaitRetry(ctx context.Context, r *outage.Retry) {
	r.Failed(time.Now(), d.role(), rand.Float64()) //nolint:gosec // not a secret
	for wait := r.Wait(time.Now(), d.role()); wait > 0 && ctx.Err() == nil; wait = r.Wait(time.Now(), d.role()) {
		backing.Pause(ctx, min(wait, retryCheckInterval))
	}
}

// renew extends the entry's lease, or writes the entry under a new lease if there
// is none or it has expired. It returns false if the entry could not be written: an entry whose
// lease may still stand is renewed at its usual interval.
func (d *Directory) renew(ctx context.Context) bool {
	d.mu.Lock()
	lease := d.lease
	d.mu.Unlock()
	if lease != 0 {
		_, err := d.store.KeepAlive(ctx, lease)
		if !errors.Is(err, backing.ErrLeaseExpired) {
			return true // renewed, or retried after renewInterval
		}
	}
	granted, err := d.store.Grant(ctx, entryTTL)
	if err != nil {
		d.log.Warn("failed to grant a lease for the host entry", observe.FieldError, err)
		return false
	}
	value, err := json.Marshal(d.self)
	if err != nil {
		d.log.Error("failed to encode the host entry", observe.FieldError, err)
		return false
	}
	if err := d.write(ctx, value, granted.ID); err != nil {
		d.log.Warn("failed to write the host entry", observe.FieldError, err)
		return false
	}
	d.mu.Lock()
	d.lease = granted.ID
	d.mu.Unlock()
	d.log.Info("host entry written", observe.FieldLease, int64(granted.ID))
	return true
}

// write stores the entry. It replaces the entry of an earlier incarnation of this
// host, if there is one.
func (d *Directory) write(ctx context.Context, value []byte, lease backing.LeaseID) error {
	key := hostsPrefix + d.self.Host
	previous, err := d.store.Get(ctx, key)
	if err != nil && !errors.Is(err, backing.ErrNotFound) {
		return errors.Wrap(err, "read the previous host entry")
	}
	_, err = d.store.CompareAndSwap(ctx, key, previous.Revision, value, lease)
	return errors.Wrap(err, "write the host entry")
}

// revoke ends the lease and so removes the entry, so that peers need not wait for
// the lease to expire.
func (d *Directory) revoke() {
	d.mu.Lock()
	lease := d.lease
	d.lease = 0
	d.mu.Unlock()
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if err := d.store.Revoke(ctx, lease); err != nil {
		d.log.Info("failed to revoke the lease of the host entry", observe.FieldError, err)
	}
}

// replace replaces the cache by a full listing. Undecodable entries are skipped.
func (d *Directory) replace(items []backing.KeyValue) error {
	hosts := make(map[string]Entry, len(items))
	for _, kv := range items {
		if e, ok := d.decode(kv); ok {
			hosts[e.Host] = e
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hosts = hosts
	d.version++
	return nil
}

// apply applies watch events to the cache. Undecodable entries are skipped.
func (d *Directory) apply(events []backing.Event) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	for _, ev := range events {
		name := strings.TrimPrefix(ev.Key, hostsPrefix)
		if ev.Deleted {
			delete(d.hosts, name)
			continue
		}
		if e, ok := d.decode(ev.KeyValue); ok {
			d.hosts[name] = e
		}
	}
	return nil
}

// decode decodes an entry; it logs and returns false for an invalid one.
func (d *Directory) decode(kv backing.KeyValue) (Entry, bool) {
	var e Entry
	if err := json.Unmarshal(kv.Value, &e); err != nil || e.Host == "" || e.Address == "" {
		d.log.Warn("failed to decode a host entry", "key", kv.Key)
		return e, false
	}
	return e, true
}
