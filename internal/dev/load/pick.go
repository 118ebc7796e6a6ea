package load

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"sync"
	"time"

	"verbenadale.example/verbenadale/internal/clock"
	"verbenadale.example/verbenadale/pkg/ident"
)

// picker chooses the entry host of a request: round robin over the configured ones, or with
// FollowEntries the first of the list that the system returns.
type picker struct {
	cfg   Config
	http  *http.Client
	clock *clock.Service

	mu      sync.Mutex
	entries []string
	expires ident.Time
}

// entryList is the list of hosts to use, as an entry host returns it.
type entryList struct {
	Entries []string `json:"entries"`
	TTLMs   int64    `json:"validForMs"`
}

// pick returns the base URL of the host for the n-th request.
func (p *picker) pick(ctx context.Context, n int) string {
	if !p.cfg.FollowEntries {
		return p.cfg.Entries[n%len(p.cfg.Entries)]
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.entries) == 0 || p.clock.Now() >= p.expires {
		p.refresh(ctx, n)
	}
	if len(p.entries) == 0 {
		return p.cfg.Entries[n%len(p.cfg.Entries)]
	}
	return p.entries[0]
}

// refresh asks the entry hosts in turn for the list until one answers.
func (p *picker) refresh(ctx context.Context, n int) {
	for i := range p.cfg.Entries {
		base := p.cfg.Entries[(n+i)%len(p.cfg.Entries)]
		list, ok := p.fetchEntries(ctx, base)
		if ok && len(list.Entries) > 0 {
			p.entries = list.Entries
			p.expires = p.clock.Now().Add(time.Duration(list.TTLMs) * time.Millisecond)
			return
		}
	}
	p.entries = nil
}

func (p *picker) fetchEntries(ctx context.Context, base string) (entryList, bool) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/v1/entries?profile="+url.QueryEscape(string(p.cfg.Profile)), nil)
	if err != nil {
		return entryList{}, false
	}
	req.Header.Set("Authorization", "Bearer "+p.cfg.Key)
	res, err := p.http.Do(req)
	if err != nil {
		return entryList{}, false
	}
	defer res.Body.Close()
	var list entryList
	if res.StatusCode != http.StatusOK || json.NewDecoder(res.Body).Decode(&list) != nil {
		return entryList{}, false
	}
	return list, true
}

// markUnreachable removes a host that could not be reached from the list.
func (p *picker) markUnreachable(base string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.entries) > 0 && p.entries[0] == base {
		p.entries = p.entries[1:]
	}
}

// redirect replaces the list by the hosts that a refusal names, unless the list no longer begins
// with the host that refused.
func (p *picker) redirect(base string, to []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.entries) == 0 || p.entries[0] == base {
		p.entries = to
	}
}
