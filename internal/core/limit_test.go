package core_test

import (
	"fmt"
	"testing"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// Guards against the share of a removed host in a limit staying reserved, so that the remaining
// hosts refuse requests below the limit.
func TestShareOfARemovedHostIsReleased(t *testing.T) {
	w := newWorld(t.Fatalf)
	const perSecond = 10
	w.Change(clientItem(rules.Client{Name: "clydeside", KeyDigest: rules.Digest("c"), RequestsPerMinute: perSecond * 60}))
	w.Run(time.Second)
	call := func(host, rate int) {
		for range rate {
			w.n++
			req := event.Request{
				ID: ident.RequestID(fmt.Sprint("limited-", w.n)), Account: "clydeside", Profile: "draft", Prompt: 10, MaxTokens: 10,
				Deadline: w.Now.Add(5 * time.Second),
			}
			w.sent[req.ID] = req
			w.RegisterRequest(req)
			w.Send(hostID("uvs", host), req)
		}
	}
	for range 30 {
		call(0, 5)
		call(1, 5)
		w.Run(time.Second)
	}
	w.Kill(hostID("uvs", 1))
	for range 60 {
		call(0, 9)
		w.Run(time.Second)
	}
	w.Answers = nil
	for range 30 {
		call(0, 9)
		w.Run(time.Second)
	}
	limited := 0
	for _, a := range w.Answers {
		if ref, ok := a.Effect.(event.Refuse); ok && ref.Code == codes.AccountLimit.ID {
			limited++
		}
	}
	if limited > 0 || len(w.Answers) == 0 {
		t.Errorf("%d of %d requests are refused by the limit, at 9 of %d a second", limited, len(w.Answers), perSecond)
	}
}
