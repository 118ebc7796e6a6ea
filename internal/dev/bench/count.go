package bench

import (
	"context"
	"net/http"

	"verbenadale.example/verbenadale/internal/dev/engine"
)

// counts are totals of the whole fleet.
type counts struct {
	cost      float64
	blocks    float64
	hits      float64
	attempts  float64
	crossings float64
}

func (n counts) minus(old counts) counts {
	return counts{
		cost: n.cost - old.cost, blocks: n.blocks - old.blocks, hits: n.hits - old.hits,
		attempts: n.attempts - old.attempts, crossings: n.crossings - old.crossings,
	}
}

// counter is a counter as the operators' listener reports it.
type counter struct {
	Count float64 `json:"count"`
}

// readCounts sums the ledgers of the engines and the counters of the entry hosts.
func (f *fleet) readCounts(ctx context.Context) (counts, error) {
	var n counts
	for _, s := range f.sites {
		for _, e := range s.engines {
			var l engine.Ledger
			if err := f.call(ctx, http.MethodGet, e.url+"/dev/ledger", nil, &l); err != nil {
				return n, err
			}
			l = e.addEarlier(l)
			n.cost += l.BusyMs / 1000 * s.price
			n.blocks += float64(l.Blocks)
			n.hits += float64(l.Hits)
			n.attempts += float64(l.Ran)
		}
		for _, h := range s.hosts {
			ms := map[string]counter{}
			if err := f.call(ctx, http.MethodGet, h.operatorsURL()+"/metrics", nil, &ms); err != nil {
				return n, err
			}
			n.crossings += ms["peers.crossings"].Count
		}
	}
	return n, nil
}
