package store

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/pkg/errors"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// Hosts is the platform's list of hosts, which lags behind the actual state.
type Hosts struct {
	Version uint64         `json:"version"`
	Hosts   []event.Host   `json:"hosts"`
	Targets []event.Target `json:"targets"`
}

// Hosts reads the list of hosts.
func (c *Client) Hosts(ctx context.Context) (Hosts, error) {
	var hs Hosts
	err := c.do(ctx, request{op: opHosts, method: http.MethodGet, path: "/v1/hosts"}, &hs)
	return hs, err
}

// Listing is one entry host in the directory for clients, from which a caller that knows no entry
// host gets its first address.
type Listing struct {
	Entry     ident.EntryID `json:"entry"`
	Place     event.Place   `json:"place"`
	CallerURL string        `json:"callerURL"`
}

// Register adds an entry host to the directory until the lease expires. A repeated call replaces
// the listing.
func (c *Client) Register(ctx context.Context, l *Lease, ls Listing) error {
	body, err := json.Marshal(ls)
	if err != nil {
		return errors.Wrap(err, "store: encode the listing")
	}
	path := "/v1/directory/" + url.PathEscape(string(ls.Entry)) + "?lease=" + url.QueryEscape(string(l.ID))
	return c.do(ctx, request{op: opRegister, method: http.MethodPut, path: path, body: body}, nil)
}

// Directory reads the directory for clients.
func (c *Client) Directory(ctx context.Context) ([]Listing, error) {
	var ls []Listing
	err := c.do(ctx, request{op: opDirectory, method: http.MethodGet, path: "/v1/directory"}, &ls)
	return ls, err
}
