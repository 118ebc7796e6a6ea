// Package engine is a fake model engine for development and tests. It implements
// continuous batching, a prefix cache of limited size, priorities, and resuming
// and cancelling of streams. It publishes cache events with delays and gaps,
// reports its load with a lag, and simulates failures. docs/targets.md describes
// its protocol.
//
// # Usage
//
//	eng := engine.New(engine.Config{ID: "uvs-e1", Slots: 8})
//	defer eng.Stop()
//	http.ListenAndServe(addr, eng)
//
// The text of an answer depends only on the prompt, so that a caller can verify
// that it received its own answer and another engine can resume a stream.
package engine

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"gopkg.in/tomb.v2"

	"verbenadale.example/verbenadale/internal/clock"
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/target"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// Config describes the engine.
type Config struct {
	ID          ident.TargetID
	Incarnation ident.Incarnation
	Serves      []rules.Serve
	// Slots is the maximum number of concurrent requests; further ones are queued.
	Slots int
	// TokenTime is the duration of a batch step without prefill.
	TokenTime time.Duration
	// PrefillRate is in prompt tokens per second; zero means that prefill takes no
	// time.
	PrefillRate float64
	// CacheBlocks is the capacity of the prefix cache in blocks.
	CacheBlocks int
	// LoadLag is the maximum age of a load report, and CacheLag the delay of cache
	// events. Every CacheGap-th cache event is dropped; zero drops none.
	LoadLag  time.Duration
	CacheLag time.Duration
	CacheGap uint64
	// ChecksFence rejects orders with an outdated fencing token.
	ChecksFence bool
}

// Defaults for unset fields of the configuration and of requests.
const (
	defaultSlots       = 8
	defaultCacheBlocks = 4096
	defaultMaxTokens   = 32
)

// Engine is the fake engine.
type Engine struct {
	t      tomb.Tomb
	cfg    Config
	mux    *http.ServeMux
	clock  *clock.Service
	wakeup chan struct{}

	mu                  sync.Mutex
	batch               batch
	cache               *cache
	faults              Faults
	draining            bool
	acceptWhileDraining bool
	hideDraining        bool
	served              int
	// previous is the source of the last admitted request.
	previous source
	ledger   Ledger
	load     event.Load
	loadAt   ident.Time
	fence    ident.Fence
}

// New starts an engine.
func New(cfg Config) *Engine {
	if cfg.Slots <= 0 {
		cfg.Slots = defaultSlots
	}
	if cfg.CacheBlocks <= 0 {
		cfg.CacheBlocks = defaultCacheBlocks
	}
	e := &Engine{
		cfg: cfg, mux: http.NewServeMux(), clock: clock.New(), wakeup: make(chan struct{}, 1),
		cache: newCache(cfg.CacheBlocks),
	}
	e.mux.HandleFunc("POST /v1/chat/completions", e.complete)
	e.mux.HandleFunc("POST /v1/completions", e.complete)
	e.mux.HandleFunc("GET /load", e.getLoad)
	e.mux.HandleFunc("GET /cache", e.getCache)
	e.mux.HandleFunc("POST /orders", e.postOrder)
	e.mux.HandleFunc("PUT /dev/faults", e.putFaults)
	e.mux.HandleFunc("POST /dev/leave", e.postLeave)
	e.mux.HandleFunc("GET /dev/ledger", e.getLedger)
	e.t.Go(e.run)
	return e
}

// Stop stops the engine.
func (e *Engine) Stop() {
	e.t.Kill(nil)
	_ = e.t.Wait()
	e.clock.Stop()
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// Drain makes the engine refuse new requests and finish those in progress.
func (e *Engine) Drain() { e.startDraining(false, false) }

// startDraining starts to drain. If acceptRequests is set, the engine still
// accepts requests; if hideDraining is set, its load reports omit that it is
// draining.
func (e *Engine) startDraining(acceptRequests, hideDraining bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining, e.acceptWhileDraining, e.hideDraining = true, acceptRequests, hideDraining
	e.ledger.DrainingSince = time.Now()
}

// Idle reports whether there is neither a running nor a queued request.
func (e *Engine) Idle() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.batch.running)+len(e.batch.waiting) == 0
}

// postLeave starts to drain. The query parameter mute sets acceptRequests, hidden
// sets hideDraining.
func (e *Engine) postLeave(_ http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	e.startDraining(q.Has("mute"), q.Has("hidden"))
}

// run executes the batch steps.
func (e *Engine) run() error {
	sub := e.clock.At(e.clock.Now())
	defer sub.Close()
	for {
		select {
		case <-sub.C():
		case <-e.wakeup:
		case <-e.t.Dying():
			return nil
		}
		if wait, busy := e.step(); busy {
			sub.Reset(e.clock.Now().Add(wait))
		}
	}
}

// step executes a batch step if it is due. It returns the time until the next step
// and whether there is work.
func (e *Engine) step() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	if now < e.batch.nextStep {
		return e.batch.nextStep.Sub(now), true
	}
	if e.faults.Frozen {
		return e.cfg.TokenTime + time.Millisecond, true
	}
	e.batch.admit(e.cfg.Slots)
	if len(e.batch.running) == 0 {
		return 0, false
	}
	running := len(e.batch.running)
	prefill := e.batch.prefill()
	e.batch.decode()
	stepTime := e.cfg.TokenTime
	if e.cfg.PrefillRate > 0 {
		stepTime += time.Duration(float64(prefill) / e.cfg.PrefillRate * float64(time.Second))
	}
	e.ledger.BusyMs += float64(running) * stepTime.Seconds() * 1000
	// Steps are scheduled from the due time of the previous one, so that a late timer
	// does not slow the engine down.
	due := e.batch.nextStep
	if now.Sub(due) > stepTime {
		due = now
	}
	e.batch.nextStep = due.Add(stepTime)
	return max(e.batch.nextStep.Sub(now), 0), true
}

func (e *Engine) wake() {
	select {
	case e.wakeup <- struct{}{}:
	default:
	}
}

func (e *Engine) getLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	ld := e.loadNow()
	e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(ld)
}

// loadNow returns the load report, which it renews once it is older than the lag.
func (e *Engine) loadNow() event.Load {
	now := e.clock.Now()
	if e.load.Seq == 0 || now.Sub(e.loadAt) >= e.cfg.LoadLag {
		e.loadAt = now
		e.load = event.Load{
			Target: e.cfg.ID, Incarnation: e.cfg.Incarnation, Seq: e.load.Seq + 1,
			Slots: e.cfg.Slots, Running: len(e.batch.running), Queued: len(e.batch.waiting),
			QueuedTokens: e.batch.pendingPrefill(),
			PrefillRate:  e.cfg.PrefillRate, DecodeRate: e.decodeRate(), Serves: e.cfg.Serves,
		}
	}
	ld := e.load
	ld.Draining = e.draining && !e.hideDraining
	ld.Age = now.Sub(e.loadAt)
	return ld
}

func (e *Engine) decodeRate() float64 {
	if e.cfg.TokenTime <= 0 {
		return 0
	}
	return float64(time.Second) / float64(e.cfg.TokenTime)
}

// Order is an order to load or unload a model.
type Order struct {
	Fence  ident.Fence  `json:"fence"`
	Load   *rules.Serve `json:"load,omitempty"`
	Unload *rules.Serve `json:"unload,omitempty"`
}

func (e *Engine) postOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.ChecksFence && o.Fence < e.fence {
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	e.fence = max(e.fence, o.Fence)
	e.ledger.Orders++
	if o.Load != nil {
		e.cfg.Serves = append(e.cfg.Serves, *o.Load)
	}
	if o.Unload != nil {
		e.cfg.Serves = without(e.cfg.Serves, *o.Unload)
	}
	e.loadAt = 0
}

func without(svs []rules.Serve, removed rules.Serve) []rules.Serve {
	var kept []rules.Serve
	for _, sv := range svs {
		if sv != removed {
			kept = append(kept, sv)
		}
	}
	return kept
}

// blockBytes is the size of the prompt blocks; the entry hosts use the same size.
const blockBytes = 256

// blocks returns the chained digests of the complete blocks of a prompt.
func blocks(prompt []byte) []uint64 {
	var digests []uint64
	h := xxhash.New()
	for len(prompt) >= blockBytes {
		_, _ = h.Write(prompt[:blockBytes])
		digests = append(digests, h.Sum64())
		prompt = prompt[blockBytes:]
	}
	return digests
}

// refuseNotRun answers that the request was not executed and never will be.
func refuseNotRun(w http.ResponseWriter, reason string) {
	w.Header().Set(target.HeaderNotRun, reason)
	w.WriteHeader(http.StatusServiceUnavailable)
}
