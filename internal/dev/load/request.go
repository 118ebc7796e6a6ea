package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"verbenadale.example/verbenadale/internal/dev/engine"
	"verbenadale.example/verbenadale/pkg/ident"
)

// request is one request of a load.
type request struct {
	*Runner
	ctx         context.Context
	n           int
	prefixIndex int
	due         ident.Time
	slots       chan struct{}

	// redirects counts how often the request followed a refusal to other hosts.
	redirects    int
	prompt       []byte
	firstTokenAt ident.Time
	lastTokenAt  ident.Time
	gaps         []time.Duration
}

// maxRedirects limits how often a request follows the hosts that refusals name.
const maxRedirects = 4

// chat is the JSON body of a request.
type chat struct {
	Model     ident.Profile `json:"model"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"`
	Messages  []message     `json:"messages"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (s *request) run() {
	defer s.wg.Done()
	defer func() { <-s.slots }()
	body := s.body()
	ctx := s.ctx
	if s.cfg.Deadline > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, s.cfg.Deadline+time.Second)
		defer cancel()
	}
	for {
		out := s.attempt(ctx, body)
		if out.redirected && s.redirects < maxRedirects {
			s.redirects++
			s.tally.addRetry(out)
			continue
		}
		if !s.cfg.Retry || out.retryAfter == 0 || s.remaining() < out.retryAfter {
			s.tally.add(out)
			return
		}
		s.tally.addRetry(out)
		sub := s.clock.At(s.clock.Now().Add(out.retryAfter))
		<-sub.C()
	}
}

// remaining returns the time until the deadline, or a minute if the load has none.
func (s *request) remaining() time.Duration {
	if s.cfg.Deadline == 0 {
		return time.Minute
	}
	return s.due.Add(s.cfg.Deadline).Sub(s.clock.Now())
}

// body returns the JSON body. The prompt is a shared prefix, three quarters of its length,
// followed by a unique part. Without Prefixes the first part is unique as well.
func (s *request) body() []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "family %d%s ", s.prefixIndex, s.cfg.Salt)
	if s.cfg.Prefixes == 0 {
		fmt.Fprintf(&b, "alone %d.%d ", s.cfg.Seed, s.n)
	}
	for b.Len() < s.cfg.PromptBytes*3/4 {
		fmt.Fprintf(&b, "memory %d of %d ", b.Len(), s.prefixIndex)
	}
	fmt.Fprintf(&b, "request %d.%d ", s.cfg.Seed, s.n)
	for b.Len() < s.cfg.PromptBytes {
		b.WriteString("more ")
	}
	msgs := []message{{Role: "user", Content: b.String()}}
	s.prompt, _ = json.Marshal(msgs)
	body, _ := json.Marshal(chat{Model: s.cfg.Profile, Stream: s.cfg.Stream, MaxTokens: s.cfg.AnswerTokens, Messages: msgs})
	return body
}

// attempt sends the request once and reads the answer.
func (s *request) attempt(ctx context.Context, body []byte) outcome {
	entry := s.picker.pick(ctx, s.n)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, entry+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return outcome{kind: "error", code: err.Error()}
	}
	req.Header.Set("Authorization", "Bearer "+s.cfg.Key)
	req.Header.Set("Content-Type", "application/json")
	if s.cfg.Deadline > 0 {
		req.Header.Set("Verbenadale-Deadline-Ms", strconv.FormatInt(max(s.remaining().Milliseconds(), 1), 10))
	}
	res, err := s.http.Do(req)
	if err != nil {
		s.picker.markUnreachable(entry)
		return outcome{kind: "error", code: "transport"}
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return s.readRefusal(entry, res)
	}
	if s.cfg.Stream {
		return s.readStream(res.Body)
	}
	return s.readAnswer(res.Body)
}

// refusal is the part of the body of a refusal that is used.
type refusal struct {
	Error struct {
		Code         string   `json:"code"`
		RetryAfterMs int64    `json:"retryAfterMs"`
		Entries      []string `json:"entries"`
	} `json:"error"`
}

func (s *request) readRefusal(entry string, res *http.Response) outcome {
	var ref refusal
	_ = json.NewDecoder(res.Body).Decode(&ref)
	moved := s.cfg.FollowEntries && len(ref.Error.Entries) > 0
	if moved {
		s.picker.redirect(entry, ref.Error.Entries)
	}
	return outcome{
		redirected: moved,
		kind:       "refused", code: ref.Error.Code, total: s.clock.Now().Sub(s.due),
		retryAfter: time.Duration(ref.Error.RetryAfterMs) * time.Millisecond,
	}
}

// answerPart is the part of a stream event or of a complete answer that is used.
type answerPart struct {
	Choices []struct {
		Delta   message `json:"delta"`
		Message message `json:"message"`
	} `json:"choices"`
	Error json.RawMessage `json:"error"`
}

func (s *request) readStream(body io.Reader) outcome {
	sc := bufio.NewScanner(body)
	text := strings.Builder{}
	for sc.Scan() {
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return s.checkAnswer(text.String())
		}
		var part answerPart
		if json.Unmarshal([]byte(data), &part) != nil || len(part.Error) > 0 || len(part.Choices) == 0 {
			return s.failed("cut")
		}
		text.WriteString(part.Choices[0].Delta.Content)
		s.recordToken()
	}
	return s.failed("cut")
}

func (s *request) recordToken() {
	now := s.clock.Now()
	if s.firstTokenAt == 0 {
		s.firstTokenAt = now
	} else {
		s.gaps = append(s.gaps, now.Sub(s.lastTokenAt))
	}
	s.lastTokenAt = now
}

func (s *request) readAnswer(body io.Reader) outcome {
	var part answerPart
	if json.NewDecoder(body).Decode(&part) != nil || len(part.Choices) == 0 {
		return s.failed("cut")
	}
	s.recordToken()
	return s.checkAnswer(part.Choices[0].Message.Content)
}

// checkAnswer compares the text with the one that the engine generates for the prompt.
func (s *request) checkAnswer(text string) outcome {
	if text != engine.Text(s.prompt, s.cfg.AnswerTokens) {
		return s.failed("wrong")
	}
	now := s.clock.Now()
	return outcome{
		kind: "done", firstToken: s.firstTokenAt.Sub(s.due), total: now.Sub(s.due), gaps: s.gaps,
		inTime: s.cfg.Deadline == 0 || now.Sub(s.due) <= s.cfg.Deadline,
	}
}

func (s *request) failed(kind string) outcome {
	return outcome{kind: kind, total: s.clock.Now().Sub(s.due)}
}
