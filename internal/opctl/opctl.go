// Package opctl holds the commands of verbctl, the operators' client.
//
// # Usage
//
//	verbctl -entry http://127.1.1.1:9090 profiles get obituary > draft.jsonc
//	verbctl -entry http://127.1.1.1:9090 profiles propose -wait 5s draft.jsonc
//	verbctl -entry http://127.1.1.1:9090 status -json
//
// Scripts can rely on the exit status: 0 success, 1 failure, 2 wrong usage,
// 3 conflict with another operator's change, 4 change accepted but not in force
// everywhere in time, 5 unknown whether the change was accepted.
package opctl

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"verbenadale.example/verbenadale/internal/admin"
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/httpcl"
	"verbenadale.example/verbenadale/internal/revlog"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// Client calls the operators' API of one entry host.
type Client struct {
	URL   string
	Token string
	HTTP  *http.Client
}

// NewChangeID returns a random id for a change. A retry with the same id is
// recognised as a duplicate.
func NewChangeID() ident.ChangeID {
	var b [12]byte
	_, _ = rand.Read(b[:])
	return ident.ChangeID(hex.EncodeToString(b[:]))
}

// CallError reports a call that failed or whose outcome is unknown.
type CallError struct {
	// Status is the HTTP status, or zero if there was no response.
	Status int
	// Fault is the body of the response.
	Fault admin.Fault
	cause error
}

// Error returns the message of the entry host, or the reason why there is no
// response.
func (e *CallError) Error() string {
	if e.cause != nil {
		return "the entry host gave no answer: " + e.cause.Error()
	}
	return fmt.Sprintf("the entry host answers %d: %s", e.Status, e.Fault.Message)
}

// Unwrap returns the transport error, or nil if the entry host responded.
func (e *CallError) Unwrap() error { return e.cause }

// outcomeUnknown reports whether the call may or may not have taken effect. If
// the connection could not be established, nothing was sent and the outcome is
// known.
func (e *CallError) outcomeUnknown() bool {
	if e.cause == nil {
		return e.Fault.Kind == admin.KindOutcomeUnknown
	}
	var op *net.OpError
	neverSent := errors.As(e.cause, &op) && op.Op == "dial"
	return !neverSent
}

// Change sends a change and returns the accepted change.
func (c *Client) Change(ctx context.Context, ch rules.Change) (rules.Change, error) {
	var accepted rules.Change
	err := c.call(ctx, http.MethodPost, "/v1/changes", ch, &accepted)
	return accepted, err
}

// Propose submits a change for approval by a second operator.
func (c *Client) Propose(ctx context.Context, ch rules.Change) (revlog.Proposal, error) {
	var p revlog.Proposal
	err := c.call(ctx, http.MethodPost, "/v1/proposals", ch, &p)
	return p, err
}

// Approve approves a proposal and returns the accepted change.
func (c *Client) Approve(ctx context.Context, id ident.ChangeID) (rules.Change, error) {
	var accepted rules.Change
	err := c.call(ctx, http.MethodPost, "/v1/proposals/"+url.PathEscape(string(id))+"/approve", nil, &accepted)
	return accepted, err
}

// Rollback restores old content of items with a new change.
func (c *Client) Rollback(ctx context.Context, rb admin.Rollback) (admin.RollbackResult, error) {
	var result admin.RollbackResult
	err := c.call(ctx, http.MethodPost, "/v1/rollback", rb, &result)
	return result, err
}

// Proposals lists the recent proposals.
func (c *Client) Proposals(ctx context.Context) ([]revlog.Proposal, error) {
	var ps []revlog.Proposal
	err := c.call(ctx, http.MethodGet, "/v1/proposals", nil, &ps)
	return ps, err
}

// History returns the n newest changes before a revision, or the n newest of all
// if before is 0. If name is set, it omits those that don't contain that item.
func (c *Client) History(ctx context.Context, kind rules.Kind, name string, before ident.Revision, n int) (admin.History, error) {
	q := url.Values{"n": {fmt.Sprint(n)}}
	if before > 0 {
		q.Set("before", fmt.Sprint(before))
	}
	if name != "" {
		q.Set("kind", string(kind))
		q.Set("name", name)
	}
	var h admin.History
	err := c.call(ctx, http.MethodGet, "/v1/history?"+q.Encode(), nil, &h)
	return h, err
}

// Profiles lists the profiles in force, only the named one if name is set.
func (c *Client) Profiles(ctx context.Context, name string) (admin.ProfileList, error) {
	var l admin.ProfileList
	err := c.call(ctx, http.MethodGet, "/v1/profiles?name="+url.QueryEscape(name), nil, &l)
	return l, err
}

// Accounts lists the accounts in force, only the named one if name is set.
func (c *Client) Accounts(ctx context.Context, name string) (admin.AccountList, error) {
	var l admin.AccountList
	err := c.call(ctx, http.MethodGet, "/v1/accounts?name="+url.QueryEscape(name), nil, &l)
	return l, err
}

// Status returns the state of the data centres and targets as the entry host
// knows it.
func (c *Client) Status(ctx context.Context) (event.StatusAnswered, error) {
	var st event.StatusAnswered
	err := c.call(ctx, http.MethodGet, "/v1/status", nil, &st)
	return st, err
}

// InForce returns which data centres have a revision in force. It waits up to
// wait for all of them to have it.
func (c *Client) InForce(ctx context.Context, rev ident.Revision, wait time.Duration) (admin.InForce, error) {
	var f admin.InForce
	path := fmt.Sprintf("/v1/inForce?revision=%d&waitMs=%d", rev, wait.Milliseconds())
	err := c.call(ctx, http.MethodGet, path, nil, &f)
	return f, err
}

// Route returns the routing decision for a request without sending it.
func (c *Client) Route(ctx context.Context, r event.Request) (event.RouteAnswered, error) {
	var ans event.RouteAnswered
	err := c.call(ctx, http.MethodPost, "/v1/route", r, &ans)
	return ans, err
}

// Drain starts a graceful stop of the entry host.
func (c *Client) Drain(ctx context.Context) error {
	return c.call(ctx, http.MethodPost, "/v1/drain", nil, nil)
}

// Level returns the verbosity of the entry host's log.
func (c *Client) Level(ctx context.Context) (admin.Level, error) {
	var l admin.Level
	err := c.call(ctx, http.MethodGet, "/v1/logLevel", nil, &l)
	return l, err
}

// SetLevel changes the verbosity of the entry host's log.
func (c *Client) SetLevel(ctx context.Context, l admin.Level) error {
	return c.call(ctx, http.MethodPut, "/v1/logLevel", l, nil)
}

// call sends a request and decodes the response into out unless out is nil.
func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return errors.Wrap(err, "opctl: encode the request")
	}
	req, err := http.NewRequestWithContext(ctx, method, c.URL+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "opctl: create the request")
	}
	req.Header.Set("Authorization", "Bearer "+c.Token)
	cl := c.HTTP
	if cl == nil {
		cl = http.DefaultClient
	}
	res, err := cl.Do(req)
	if err != nil {
		return &CallError{cause: err}
	}
	defer res.Body.Close()
	if err := httpcl.CheckHead(res.StatusCode, res.Header); err != nil {
		return &CallError{cause: err}
	}
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return &CallError{cause: err}
	}
	if res.StatusCode >= http.StatusMultipleChoices {
		ce := &CallError{Status: res.StatusCode}
		if json.Unmarshal(b, &ce.Fault) != nil {
			ce.Fault.Message = string(bytes.TrimSpace(b))
		}
		return ce
	}
	if out == nil {
		return nil
	}
	return errors.Wrap(json.Unmarshal(b, out), "opctl: the response can't be decoded")
}
