package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// callTimeout bounds each HTTP call that the bench itself makes.
const callTimeout = 10 * time.Second

// call sends body as JSON, unless it is nil, and decodes the answer into out, unless that is
// nil.
func (f *fleet) call(ctx context.Context, method, url string, body, out any) error {
	var rd io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return errors.Wrap(err, "bench: encode request body")
		}
		rd = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, rd)
	if err != nil {
		return errors.Wrap(err, "bench: call")
	}
	req.Header.Set("Authorization", "Bearer "+operatorToken)
	res, err := f.http.Do(req)
	if err != nil {
		return errors.Wrap(err, "bench: call")
	}
	defer res.Body.Close()
	if res.StatusCode >= http.StatusMultipleChoices {
		b, _ := io.ReadAll(res.Body)
		return errors.Errorf("bench: %s %s: %s %s", method, url, res.Status, b)
	}
	if out == nil {
		return nil
	}
	return errors.Wrap(json.NewDecoder(res.Body).Decode(out), "bench: decode answer")
}

// usePolicy sets the policy of every entry host.
func (f *fleet) usePolicy(ctx context.Context, policy string) error {
	return f.eachHost(func(_ *site, h *host) error {
		return f.call(ctx, http.MethodPut, "http://"+h.controlAddr()+"/dev/policy?name="+policy, nil, nil)
	})
}

// configure writes the profiles and accounts, and waits until they are in force at every host.
func (f *fleet) configure(ctx context.Context) error {
	models := []rules.Serve{{Model: model}}
	w := f.shape.weights
	items := []rules.Item{
		itemOf(rules.KindProfile, string(profileAnywhere), rules.Profile{Name: profileAnywhere, Models: models, MaxCrossings: 1, Weights: w}),
		itemOf(rules.KindProfile, string(profileHomeOnly), rules.Profile{Name: profileHomeOnly, Models: models, HomeOnly: true, Weights: w}),
	}
	for _, s := range f.sites {
		name := string(s.place.DataCentre)
		items = append(items, itemOf(rules.KindAccount, name, rules.Client{
			Name: ident.Account(name), KeyDigest: rules.Digest(s.key()), Home: s.place.Region,
		}))
	}
	ch := rules.Change{ID: "bench", Items: items}
	if err := f.call(ctx, http.MethodPost, f.sites[0].hosts[0].operatorsURL()+"/v1/changes", ch, nil); err != nil {
		return err
	}
	return f.eachHost(func(_ *site, h *host) error {
		return f.await(ctx, h.operatorsURL()+"/readyz")
	})
}

func itemOf(kind rules.Kind, name string, doc any) rules.Item {
	b, _ := json.Marshal(doc)
	return rules.Item{Kind: kind, Name: name, Doc: b}
}

// Waiting for a process to answer.
const (
	startTimeout = 20 * time.Second
	pollInterval = 50 * time.Millisecond
)

// await waits until a URL answers with success. The error is ErrStart after startTimeout.
func (f *fleet) await(ctx context.Context, url string) error {
	end := f.clock.Now().Add(startTimeout)
	sub := f.clock.Every(pollInterval)
	defer sub.Close()
	for f.clock.Now() < end && ctx.Err() == nil {
		if f.call(ctx, http.MethodGet, url, nil, nil) == nil {
			return nil
		}
		<-sub.C()
	}
	return errors.Wrap(ErrStart, url)
}
