// Package opctl holds the commands of verbctl, the operators' client.
//
// # Usage
//
//	verbctl -entry http://127.1.1.1:9090 profiles put draft.json
//	verbctl -entry http://127.1.1.1:9090 status -json
package opctl

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"verbenadale.example/verbenadale/internal/admin"
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// Client calls the operators' address of one entry host.
type Client struct {
	URL   string
	Token string
	HTTP  *http.Client
}

// NewChangeID returns an id for a change, by which a repeat is recognised.
func NewChangeID() ident.ChangeID {
	var b [12]byte
	_, _ = rand.Read(b[:])
	return ident.ChangeID(hex.EncodeToString(b[:]))
}

// Change sends a change and returns it as accepted.
func (c *Client) Change(ctx context.Context, ch rules.Change) (rules.Change, error) {
	var done rules.Change
	err := c.call(ctx, http.MethodPost, "/v1/changes", ch, &done)
	return done, err
}

// Status returns the state as the entry host knows it.
func (c *Client) Status(ctx context.Context) (event.StatusAnswered, error) {
	var st event.StatusAnswered
	err := c.call(ctx, http.MethodGet, "/v1/status", nil, &st)
	return st, err
}

// call sends a request and reads the answer into out.
func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return errors.Wrap(err, "opctl: encode")
	}
	req, err := http.NewRequestWithContext(ctx, method, c.URL+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "opctl: request")
	}
	req.Header.Set("Authorization", "Bearer "+c.Token)
	cl := c.HTTP
	if cl == nil {
		cl = http.DefaultClient
	}
	res, err := cl.Do(req)
	if err != nil {
		return errors.Wrap(err, "opctl: call")
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return errors.Wrap(err, "opctl: read")
	}
	if res.StatusCode != http.StatusOK {
		var f admin.Fault
		_ = json.Unmarshal(b, &f)
		return errors.Errorf("the entry host answers %d: %s", res.StatusCode, f.Message)
	}
	return json.Unmarshal(b, out)
}
