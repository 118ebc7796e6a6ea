package demo

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"verbenadale.example/verbenadale/internal/dev/plain"
	"verbenadale.example/verbenadale/internal/opctl"
	"verbenadale.example/verbenadale/internal/store"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// readyTimeout limits the time until the configuration is in force, and the time
// until an answer is streamed.
const readyTimeout = 20 * time.Second

// runSteps runs the steps of the demonstration and prints what a caller sees.
func (s *system) runSteps(ctx context.Context) error {
	steps := []struct {
		title string
		do    func(ctx context.Context) error
	}{
		{"An operator creates profiles and an account", s.configure},
		{"A caller asks for a text, and the answer streams", s.streamAnswer},
		{"A notice that must stay in Khovd is refused elsewhere", s.refuseElsewhere},
		{"A notice is published once, though it is sent twice", s.publishTwice},
	}
	for _, st := range steps {
		fmt.Fprintf(s.cfg.Out, "\n== %s\n", st.title)
		if err := st.do(ctx); err != nil {
			return err
		}
	}
	return nil
}

func newItem(kind rules.Kind, name string, doc any) rules.Item {
	b, _ := json.Marshal(doc)
	return rules.Item{Kind: kind, Name: name, Doc: b}
}

func (s *system) configure(ctx context.Context) error {
	items := []rules.Item{
		newItem(rules.KindProfile, "draft", rules.Profile{Models: []rules.Serve{{Model: "draft"}}, MaxCrossings: 1, Weights: rules.Weights{Tail: 1, Cost: 0.1, Crossing: 0.2}}),
		newItem(rules.KindProfile, "khovd-only", rules.Profile{Models: []rules.Serve{{Model: "draft"}}, Regions: []ident.Region{"khovd"}}),
		newItem(rules.KindProfile, "publish", rules.Profile{Service: "publish", AtMostOnce: true, MaxCrossings: 1}),
		newItem(rules.KindAccount, "demo", rules.Client{KeyDigest: rules.Digest(callerKey), RequestsPerMinute: 6000}),
	}
	cl := &opctl.Client{URL: "http://" + s.hosts[0].Operators.Listen, Token: operatorToken}
	done, err := cl.Change(ctx, rules.Change{ID: opctl.NewChangeID(), Items: items})
	if err != nil {
		return err
	}
	fmt.Fprintf(s.cfg.Out, "accepted as revision %d\n", done.Revision)
	inForce, err := cl.InForce(ctx, done.Revision, readyTimeout)
	if err != nil {
		return err
	}
	for _, c := range inForce.Centres {
		fmt.Fprintf(s.cfg.Out, "%s has revision %d in force\n", c.DataCentre, c.LowestRevision)
	}
	return nil
}

const requestBody = `{"model":"%s","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"Help me with a notice."}]}`

// streamAnswer retries a request until the hosts have discovered the engines and
// an answer is streamed, or until readyTimeout expires.
func (s *system) streamAnswer(ctx context.Context) error {
	url := s.hosts[0].Callers.URL + "/v1/chat/completions"
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		res, err := s.post(ctx, url, fmt.Sprintf(requestBody, "draft"), nil)
		if err != nil {
			return err
		}
		if res.StatusCode == http.StatusOK {
			defer res.Body.Close()
			return s.printStream(res)
		}
		res.Body.Close()
		time.Sleep(100 * time.Millisecond)
	}
	return errors.Wrap(ErrDemo, "no answer was streamed")
}

func (s *system) printStream(res *http.Response) error {
	sc := bufio.NewScanner(res.Body)
	complete := false
	for sc.Scan() {
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		complete = data == "[DONE]"
		fmt.Fprintln(s.cfg.Out, data)
	}
	if !complete {
		return errors.Wrap(ErrDemo, "incomplete answer")
	}
	fmt.Fprintf(s.cfg.Out, "outcome: %s\n", res.Trailer.Get("Verbenadale-Outcome"))
	return nil
}

// refuseElsewhere sends a request that must stay in Khovd to a host in
// Ulaanbaatar.
func (s *system) refuseElsewhere(ctx context.Context) error {
	header := map[string]string{"Verbenadale-Profile": "khovd-only"}
	res, err := s.post(ctx, s.hosts[0].Callers.URL+"/v1/chat/completions", fmt.Sprintf(requestBody, "khovd-only"), header)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return errors.Wrap(err, "demo")
	}
	fmt.Fprintf(s.cfg.Out, "status %d, outcome %s\n%s", res.StatusCode, res.Header.Get("Verbenadale-Outcome"), b)
	if res.StatusCode != http.StatusMisdirectedRequest {
		return errors.Wrap(ErrDemo, "request was not refused")
	}
	return nil
}

type ticketResponse struct {
	Ticket string `json:"ticket"`
}

// publishTwice sends one notice twice with the same ticket.
func (s *system) publishTwice(ctx context.Context) error {
	base := s.hosts[0].Callers.URL
	res, err := s.post(ctx, base+"/v1/tickets?profile=publish", "", nil)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	var tk ticketResponse
	if err := json.NewDecoder(res.Body).Decode(&tk); err != nil || tk.Ticket == "" {
		return errors.Wrap(ErrDemo, "no ticket received")
	}
	body, _ := json.Marshal(plain.Call{Job: "notice-1", Text: "A notice."})
	for n := range 2 {
		var out plain.Result
		if err := s.publish(ctx, base, tk.Ticket, string(body), &out); err != nil {
			return err
		}
		fmt.Fprintf(s.cfg.Out, "try %d: %s has run it %d time(s)\n", n+1, out.By, out.Runs)
		if out.Runs != 1 {
			return errors.Wrap(ErrDemo, "notice was published more than once")
		}
	}
	return nil
}

func (s *system) publish(ctx context.Context, base, ticket, body string, out *plain.Result) error {
	res, err := s.post(ctx, base+"/v1/services/publish/notices", body, map[string]string{"Verbenadale-Ticket": ticket})
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return errors.Wrapf(ErrDemo, "status %d", res.StatusCode)
	}
	return errors.Wrap(json.NewDecoder(res.Body).Decode(out), "demo")
}

func (s *system) post(ctx context.Context, url, body string, header map[string]string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "demo")
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	req.Header.Set("Content-Type", "application/json")
	for k, v := range header {
		req.Header.Set(k, v)
	}
	res, err := http.DefaultClient.Do(req)
	return res, errors.Wrap(err, "demo")
}

// putHosts uploads the list of hosts to the platform.
func putHosts(platform string, hs store.Hosts) error {
	b, err := json.Marshal(hs)
	if err != nil {
		return errors.Wrap(err, "demo")
	}
	req, err := http.NewRequest(http.MethodPut, platform+"/dev/hosts", bytes.NewReader(b))
	if err != nil {
		return errors.Wrap(err, "demo")
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "demo")
	}
	return res.Body.Close()
}

func (s *system) printAddresses() {
	w := s.cfg.Out
	fmt.Fprintln(w, "\n== Addresses")
	for _, set := range s.hosts {
		fmt.Fprintf(w, "%-14s callers http://%s  operators http://%s\n", set.Entry, set.Callers.Listen, set.Operators.Listen)
	}
	fmt.Fprintf(w, "platform       %s\n", s.platform)
	fmt.Fprintf(w, "\nCommands to try:\n\n  curl -N -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' -d '%s' %s/v1/chat/completions\n  go run ./cmd/verbctl -entry http://%s -token %s status\n",
		callerKey, fmt.Sprintf(requestBody, "draft"), s.hosts[0].Callers.URL, s.hosts[0].Operators.Listen, operatorToken)
}
