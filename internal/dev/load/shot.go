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

// shot is one request.
type shot struct {
	*Runner
	ctx    context.Context
	n      int
	prefix int
	due    ident.Time
	slots  chan struct{}

	// moves counts how often the request was sent to other hosts.
	moves  int
	prompt []byte
	first  ident.Time
	last   ident.Time
	gaps   []time.Duration
}

// maxMoves bounds how often a request follows the addresses of refusals.
const maxMoves = 4

// chat is the body of a request.
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

func (s *shot) run() {
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
		out := s.try(ctx, body)
		if out.moved && s.moves < maxMoves {
			s.moves++
			s.tally.again(out)
			continue
		}
		if !s.cfg.Retry || out.later == 0 || s.left() < out.later {
			s.tally.add(out)
			return
		}
		s.tally.again(out)
		sub := s.clock.At(s.clock.Now().Add(out.later))
		<-sub.C()
	}
}

func (s *shot) left() time.Duration {
	if s.cfg.Deadline == 0 {
		return time.Minute
	}
	return s.due.Add(s.cfg.Deadline).Sub(s.clock.Now())
}

// body makes the prompt: a shared prefix and an end of its own.
func (s *shot) body() []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "family %d%s ", s.prefix, s.cfg.Salt)
	if s.cfg.Prefixes == 0 {
		fmt.Fprintf(&b, "alone %d.%d ", s.cfg.Seed, s.n)
	}
	for b.Len() < s.cfg.Prompt*3/4 {
		fmt.Fprintf(&b, "memory %d of %d ", b.Len(), s.prefix)
	}
	fmt.Fprintf(&b, "request %d.%d ", s.cfg.Seed, s.n)
	for b.Len() < s.cfg.Prompt {
		b.WriteString("more ")
	}
	msgs := []message{{Role: "user", Content: b.String()}}
	s.prompt, _ = json.Marshal(msgs)
	body, _ := json.Marshal(chat{Model: s.cfg.Profile, Stream: s.cfg.Stream, MaxTokens: s.cfg.Tokens, Messages: msgs})
	return body
}

// try sends the request once.
func (s *shot) try(ctx context.Context, body []byte) outcome {
	entry := s.picker.pick(ctx, s.n)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, entry+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return outcome{kind: "error", code: err.Error()}
	}
	req.Header.Set("Authorization", "Bearer "+s.cfg.Key)
	req.Header.Set("Content-Type", "application/json")
	if s.cfg.Deadline > 0 {
		req.Header.Set("Verbenadale-Deadline-Ms", strconv.FormatInt(max(s.left().Milliseconds(), 1), 10))
	}
	res, err := s.http.Do(req)
	if err != nil {
		s.picker.failed(entry)
		return outcome{kind: "error", code: "transport"}
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return s.refused(entry, res)
	}
	if s.cfg.Stream {
		return s.stream(res.Body)
	}
	return s.whole(res.Body)
}

// refusal is what is read of a refusal.
type refusal struct {
	Error struct {
		Code         string   `json:"code"`
		RetryAfterMs int64    `json:"retryAfterMs"`
		Entries      []string `json:"entries"`
	} `json:"error"`
}

func (s *shot) refused(entry string, res *http.Response) outcome {
	var ref refusal
	_ = json.NewDecoder(res.Body).Decode(&ref)
	moved := s.cfg.Follow && len(ref.Error.Entries) > 0
	if moved {
		s.picker.moved(entry, ref.Error.Entries)
	}
	return outcome{
		moved: moved,
		kind:  "refused", code: ref.Error.Code, total: s.clock.Now().Sub(s.due),
		later: time.Duration(ref.Error.RetryAfterMs) * time.Millisecond,
	}
}

// answerPart is what is read of an event or of a whole answer.
type answerPart struct {
	Choices []struct {
		Delta   message `json:"delta"`
		Message message `json:"message"`
	} `json:"choices"`
	Error json.RawMessage `json:"error"`
}

func (s *shot) stream(body io.Reader) outcome {
	sc := bufio.NewScanner(body)
	text := strings.Builder{}
	for sc.Scan() {
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return s.judge(text.String())
		}
		var part answerPart
		if json.Unmarshal([]byte(data), &part) != nil || len(part.Error) > 0 || len(part.Choices) == 0 {
			return s.failed("cut")
		}
		text.WriteString(part.Choices[0].Delta.Content)
		s.token()
	}
	return s.failed("cut")
}

func (s *shot) token() {
	now := s.clock.Now()
	if s.first == 0 {
		s.first = now
	} else {
		s.gaps = append(s.gaps, now.Sub(s.last))
	}
	s.last = now
}

func (s *shot) whole(body io.Reader) outcome {
	var part answerPart
	if json.NewDecoder(body).Decode(&part) != nil || len(part.Choices) == 0 {
		return s.failed("cut")
	}
	s.token()
	return s.judge(part.Choices[0].Message.Content)
}

// judge holds the text against the one that belongs to the prompt.
func (s *shot) judge(text string) outcome {
	if text != engine.Text(s.prompt, s.cfg.Tokens) {
		return s.failed("wrong")
	}
	now := s.clock.Now()
	return outcome{
		kind: "done", first: s.first.Sub(s.due), total: now.Sub(s.due), gaps: s.gaps,
		inTime: s.cfg.Deadline == 0 || now.Sub(s.due) <= s.cfg.Deadline,
	}
}

func (s *shot) failed(kind string) outcome {
	return outcome{kind: kind, total: s.clock.Now().Sub(s.due)}
}
