package peer

import (
	"context"
	"encoding/json"
	"log/slog"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/observe"
)

// hostsPrefix is where the store holds the entry hosts.
const hostsPrefix = "acacialink/host/"

const (
	// entryTTL is how long the entry of a host that died stays.
	entryTTL = 4 * time.Second
	// renewEvery is the time between renewals of a host's own entry.
	renewEvery = 1200 * time.Millisecond
	// watchWait bounds one watch of the directory, watchSpacing is the pause
	// after each, which bounds the calls when many hosts come and go.
	watchWait    = 20 * time.Second
	watchSpacing = time.Second
	// storeTimeout bounds one call, storeRetry is the pause after a failure.
	storeTimeout = time.Second
	storeRetry   = 500 * time.Millisecond
)

// Entry is a host in the directory.
type Entry struct {
	Host        string `json:"host"`
	Address     string `json:"address"`
	Domain      string `json:"domain"`
	Incarnation string `json:"incarnation"`
}

// Directory keeps the host's own entry in the store and knows those of others.
// It is safe for concurrent use.
type Directory struct {
	self  Entry
	store backing.Store
	log   *slog.Logger

	mu    sync.Mutex
	hosts map[string]Entry
	lease backing.LeaseID
}

// NewDirectory returns a directory that knows only the host itself.
func NewDirectory(self Entry, store backing.Store, log *slog.Logger) *Directory {
	return &Directory{self: self, store: store, log: log, hosts: make(map[string]Entry)}
}

// Others returns the other hosts, by name.
func (d *Directory) Others() map[string]Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[string]Entry, len(d.hosts))
	for name, e := range d.hosts {
		if name != d.self.Host {
			out[name] = e
		}
	}
	return out
}

// Run keeps the entry and follows the others' until ctx ends, and then takes
// the entry away.
func (d *Directory) Run(ctx context.Context) {
	f := backing.Follower{
		Store: d.store, Prefix: hostsPrefix, Wait: watchWait, Timeout: storeTimeout,
		Retry: storeRetry, Spacing: watchSpacing, Replace: d.replace, Apply: d.apply,
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Run(ctx)
	}()
	for ctx.Err() == nil {
		d.keep(ctx)
		backing.Pause(ctx, renewEvery)
	}
	<-done
	d.leave()
}

// keep renews the entry's lease, or writes the entry under a new one.
func (d *Directory) keep(ctx context.Context) {
	d.mu.Lock()
	lease := d.lease
	d.mu.Unlock()
	if lease != 0 {
		_, err := d.store.KeepAlive(ctx, lease)
		if !errors.Is(err, backing.ErrLeaseExpired) {
			return // renewed, or tried again at the next turn
		}
	}
	granted, err := d.store.Grant(ctx, entryTTL)
	if err != nil {
		d.log.Warn("host entry has no lease", observe.FieldError, err)
		return
	}
	value, err := json.Marshal(d.self)
	if err != nil {
		d.log.Error("host entry cannot be encoded", observe.FieldError, err)
		return
	}
	if err := d.write(ctx, value, granted.ID); err != nil {
		d.log.Warn("host entry was not written", observe.FieldError, err)
		return
	}
	d.mu.Lock()
	d.lease = granted.ID
	d.mu.Unlock()
	d.log.Info("host entry written", observe.FieldLease, int64(granted.ID))
}

// write puts the entry over one of an earlier start of this host, if there is one.
func (d *Directory) write(ctx context.Context, value []byte, lease backing.LeaseID) error {
	key := hostsPrefix + d.self.Host
	old, err := d.store.Get(ctx, key)
	if err != nil && !errors.Is(err, backing.ErrNotFound) {
		return errors.Wrap(err, "read the old host entry")
	}
	_, err = d.store.CompareAndSwap(ctx, key, old.Revision, value, lease)
	return errors.Wrap(err, "write the host entry")
}

// leave ends the lease, so that peers do not wait for it to lapse.
func (d *Directory) leave() {
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
		d.log.Info("host entry was not removed", observe.FieldError, err)
	}
}

func (d *Directory) replace(items []backing.KeyValue) error {
	next := make(map[string]Entry, len(items))
	for _, kv := range items {
		if e, ok := d.decode(kv); ok {
			next[e.Host] = e
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hosts = next
	return nil
}

func (d *Directory) apply(events []backing.Event) error {
	d.mu.Lock()
	defer d.mu.Unlock()
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

func (d *Directory) decode(kv backing.KeyValue) (Entry, bool) {
	var e Entry
	if err := json.Unmarshal(kv.Value, &e); err != nil || e.Host == "" || e.Address == "" {
		d.log.Warn("host entry cannot be read", "key", kv.Key)
		return e, false
	}
	return e, true
}
