// Package engine is a stand-in for a model engine, for development and tests.
// It batches continuously, caches prompt prefixes in limited memory, honours
// priorities, resumes and cancels streams, publishes cache events late and
// with gaps, reports load with a lag, and can be made to fail.
// docs/targets.md describes its protocol.
//
// # Usage
//
//	eng := engine.New(engine.Config{ID: "uvs-e1", Slots: 8})
//	defer eng.Stop()
//	http.ListenAndServe(addr, eng)
//
// The text of an answer depends on the prompt alone, so that a caller can
// check that it got its own answer, and another engine can go on in the
// middle.
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
	// Slots is how many requests run at once; the rest wait.
	Slots int
	// TokenTime is the time of one step of the batch without prefill.
	TokenTime time.Duration
	// PrefillRate is prompt tokens a second.
	PrefillRate float64
	// CacheBlocks bounds the prefix cache.
	CacheBlocks int
	// LoadLag is how old a load report may be, CacheLag how late cache events
	// come, and CacheGap loses every n-th of them; zero loses none.
	LoadLag  time.Duration
	CacheLag time.Duration
	CacheGap uint64
	// ChecksFence refuses orders with an old fencing number.
	ChecksFence bool
}

// Defaults of the configuration.
const (
	defaultSlots       = 8
	defaultCacheBlocks = 4096
	defaultMaxTokens   = 32
)

// Engine is the stand-in.
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
	// previous is the request that was taken before the last one.
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

// Stop ends the engine.
func (e *Engine) Stop() {
	e.t.Kill(nil)
	_ = e.t.Wait()
	e.clock.Stop()
}

// ServeHTTP serves one call.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// Drain makes the engine refuse new requests and finish those that run.
func (e *Engine) Drain() { e.startDraining(false, false) }

// startDraining begins to leave. A mute engine serves on and does not refuse, and
// with hidden its load reports don't say that it leaves.
func (e *Engine) startDraining(mute, hidden bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining, e.acceptWhileDraining, e.hideDraining = true, mute, hidden
	e.ledger.DrainingSince = time.Now()
}

// Idle reports whether no request runs or waits.
func (e *Engine) Idle() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.batch.running)+len(e.batch.waiting) == 0
}

// postLeave takes mute and hidden from the query.
func (e *Engine) postLeave(_ http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	e.startDraining(q.Has("mute"), q.Has("hidden"))
}

// run steps the batch.
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

// step lets the batch go on if its time has come. It returns the time to the
// next step and whether there is work.
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
	taken := len(e.batch.running)
	prefill := e.batch.prefill()
	e.batch.decode()
	took := e.cfg.TokenTime
	if e.cfg.PrefillRate > 0 {
		took += time.Duration(float64(prefill) / e.cfg.PrefillRate * float64(time.Second))
	}
	e.ledger.BusyMs += float64(taken) * took.Seconds() * 1000
	// Steps are counted from when the last was due, so that a late timer does
	// not slow the engine down.
	due := e.batch.nextStep
	if now.Sub(due) > took {
		due = now
	}
	e.batch.nextStep = due.Add(took)
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

// loadNow returns the load report, which is made anew when it is older than
// the lag.
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

// Order is an order to load or unload, as the platform's engines take it.
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

func without(svs []rules.Serve, out rules.Serve) []rules.Serve {
	var left []rules.Serve
	for _, sv := range svs {
		if sv != out {
			left = append(left, sv)
		}
	}
	return left
}

// Blocks of a prompt, as the callers' side cuts them too.
const blockBytes = 256

// blocks returns the chained digests of the whole blocks of a prompt.
func blocks(prompt []byte) []uint64 {
	var ds []uint64
	h := xxhash.New()
	for len(prompt) >= blockBytes {
		_, _ = h.Write(prompt[:blockBytes])
		ds = append(ds, h.Sum64())
		prompt = prompt[blockBytes:]
	}
	return ds
}

// refuseNotRun answers that the request was not run and never will be.
func refuseNotRun(w http.ResponseWriter, why string) {
	w.Header().Set(target.HeaderNotRun, why)
	w.WriteHeader(http.StatusServiceUnavailable)
}
