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

// picker chooses the entry host of a request: in turn, or as the system says.
type picker struct {
	cfg   Config
	http  *http.Client
	clock *clock.Service

	mu    sync.Mutex
	use   []string
	until ident.Time
}

// entryList is the answer of the system to which hosts to use.
type entryList struct {
	Entries    []string `json:"entries"`
	ValidForMs int64    `json:"validForMs"`
}

// pick returns a base URL for the n-th request.
func (p *picker) pick(ctx context.Context, n int) string {
	if !p.cfg.Follow {
		return p.cfg.Entries[n%len(p.cfg.Entries)]
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.use) == 0 || p.clock.Now() >= p.until {
		p.ask(ctx, n)
	}
	if len(p.use) == 0 {
		return p.cfg.Entries[n%len(p.cfg.Entries)]
	}
	return p.use[0]
}

// ask asks the entry hosts in turn until one answers.
func (p *picker) ask(ctx context.Context, n int) {
	for i := range p.cfg.Entries {
		base := p.cfg.Entries[(n+i)%len(p.cfg.Entries)]
		list, ok := p.askOne(ctx, base)
		if ok && len(list.Entries) > 0 {
			p.use = list.Entries
			p.until = p.clock.Now().Add(time.Duration(list.ValidForMs) * time.Millisecond)
			return
		}
	}
	p.use = nil
}

func (p *picker) askOne(ctx context.Context, base string) (entryList, bool) {
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

// failed forgets a host that could not be reached.
func (p *picker) failed(base string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.use) > 0 && p.use[0] == base {
		p.use = p.use[1:]
	}
}

// moved takes the hosts that a refusal names in place of the one that refused.
func (p *picker) moved(base string, to []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.use) == 0 || p.use[0] == base {
		p.use = to
	}
}
