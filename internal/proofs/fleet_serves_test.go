package proofs

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"

	"verbenadale.example/verbenadale/internal/dev/plain"
)

// chatBody requests a streamed answer of n tokens.
func chatBody(profile, text string, n int) string {
	return fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, profile, n, text)
}

type ticketAnswer struct {
	Ticket     string `json:"ticket"`
	ValidForMs int64  `json:"validForMs"`
}

// takeTicket requests a ticket from a host.
func takeTicket(t *testing.T, m *fleetHost, profile string) string {
	t.Helper()
	rep := post(t, m.callers()+"/v1/tickets?profile="+profile, "key-1", "")
	var tk ticketAnswer
	if err := json.Unmarshal([]byte(rep.body), &tk); err != nil || tk.Ticket == "" {
		t.Fatalf("no ticket: %d %s", rep.status, rep.body)
	}
	return tk.Ticket
}

// sendJob sends a job to a plain service; header carries its ticket or idempotency key.
func sendJob(t *testing.T, m *fleetHost, job string, header map[string]string) reply {
	t.Helper()
	h := map[string]string{"Content-Type": "application/json"}
	for k, v := range header {
		h[k] = v
	}
	body, err := json.Marshal(plain.Call{Job: job, Text: "a notice"})
	if err != nil {
		t.Fatal(err)
	}
	return postWith(t, m.callers()+"/v1/services/publish/notices", "key-1", string(body), h)
}

// Other regions must serve the work of a region without targets, and each job must run once.
func TestFleetServes(t *testing.T) {
	f := startFleet(t, siteOf("uvs", 2, 2, 1), siteOf("erdenet", 2, 2, 1), siteOf("khovd", 2, 0, 0))
	f.configure()
	for _, m := range f.hosts {
		eventually(t, "an answer at "+string(m.id), func() bool {
			rep := post(t, m.callers()+"/v1/chat/completions", "key-1", chatBody("draft", "hello from "+string(m.id), 4))
			return rep.status == http.StatusOK && len(rep.events) == 5
		})
	}
	for _, m := range f.hosts {
		job := "job-" + string(m.id)
		eventually(t, "a job at "+string(m.id), func() bool {
			rep := sendJob(t, m, job, map[string]string{"Verbenadale-Ticket": takeTicket(t, m, "publish")})
			return rep.status == http.StatusOK
		})
	}
	for job, n := range f.jobs() {
		if n != 1 {
			t.Errorf("%s ran %d times", job, n)
		}
	}
}
