package worker

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
)

// PoisonSegment is the segment of a path that marks requests which end their worker.
const PoisonSegment = "poison"

// PoisonPart begins the ids of the parts of prompts that end each worker which begins an answer to them.
const PoisonPart = "dead0bad"

// Ending is what a worker sends of the answer to a prompt with PoisonPart before it ends.
type Ending string

// Endings.
const (
	// AfterHead sends the head alone, AfterEvent the first event.
	AfterHead  Ending = "head"
	AfterEvent Ending = "event"
	// UnframedHead, UnframedEvent and UnframedEvents send an answer without length or chunks that ends after its
	// head, inside its first event, or after it. The connection is closed in order.
	UnframedHead   Ending = "unframed head"
	UnframedEvent  Ending = "unframed event"
	UnframedEvents Ending = "unframed events"
)

// SetEnding sets Config.Ending.
func (k *Worker) SetEnding(e Ending) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cfg.Ending = e
}

// endsUnder returns the function to call for a request that ends its worker, nil for any other request.
func (k *Worker) endsUnder(r *http.Request) func(r *http.Request) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !slices.Contains(strings.Split(r.URL.Path, "/"), PoisonSegment) {
		return nil
	}
	return k.cfg.OnPoison
}

// endsUnderPart is endsUnder for a request whose prompt has PoisonPart.
func (k *Worker) endsUnderPart(r *http.Request) func(r *http.Request) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if PoisonPartOf(r.Header) == "" {
		return nil
	}
	return k.cfg.OnPoison
}

// PoisonPartOf returns the id of the part of a prompt that ends workers, empty if there is none.
func PoisonPartOf(h http.Header) string {
	for part := range strings.SplitSeq(h.Get("Verbenadale-Prompt-Prefix"), ",") {
		if id, _, _ := strings.Cut(strings.TrimSpace(part), ":"); strings.HasPrefix(id, PoisonPart) {
			return id
		}
	}
	return ""
}

// beginAnswer sends what Config.Ending names of an answer, and returns a function that closes its connection if the
// answer ends with that.
func (k *Worker) beginAnswer(w http.ResponseWriter) (closeConn func()) {
	w.Header().Set("Content-Type", "text/event-stream")
	switch k.cfg.Ending {
	case UnframedHead:
		return writeUnframed(w, "")
	case UnframedEvent:
		return writeUnframed(w, "id: 1\ndata: pie")
	case UnframedEvents:
		return writeUnframed(w, EventText(1))
	case AfterEvent:
		fmt.Fprint(w, EventText(1))
	}
	_ = http.NewResponseController(w).Flush()
	return func() {}
}

// writeUnframed sends an answer that ends with its connection, and returns a function that closes that in order.
func writeUnframed(w http.ResponseWriter, text string) (closeConn func()) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return func() {}
	}
	var head strings.Builder
	_ = w.Header().Write(&head)
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s\r\n%s", head.String(), text)
	return func() { _ = c.Close() }
}
