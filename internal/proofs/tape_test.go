package proofs

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"syscall"
	"testing"

	"verbenadale.example/verbenadale/internal/config"
	"verbenadale.example/verbenadale/internal/store"
	"verbenadale.example/verbenadale/pkg/ident"
)

// capture holds all that passes between the regions of a fleet without TLS.
type capture struct {
	mu  sync.Mutex
	buf map[string]*bytes.Buffer
}

// captureRegions records what crosses from region to region, by the ends of the
// link.
func (f *fleet) captureRegions() *capture {
	tp := &capture{buf: make(map[string]*bytes.Buffer)}
	regions := make(map[string]ident.Region)
	for _, m := range f.hosts {
		regions[m.ip] = m.place.Region
	}
	for _, m := range f.hosts {
		m.peerRelay.setOnBytes(func(sender string, b []byte) {
			if regions[sender] != m.place.Region {
				tp.add(sender+" "+string(m.id), b)
			}
		})
	}
	return tp
}

func (tp *capture) add(link string, b []byte) {
	tp.mu.Lock()
	defer tp.mu.Unlock()
	if tp.buf[link] == nil {
		tp.buf[link] = &bytes.Buffer{}
	}
	tp.buf[link].Write(b)
}

// has reports whether a text has crossed.
func (tp *capture) has(text string) bool {
	tp.mu.Lock()
	defer tp.mu.Unlock()
	for _, b := range tp.buf {
		if bytes.Contains(b.Bytes(), []byte(text)) {
			return true
		}
	}
	return false
}

// size returns how many bytes have crossed.
func (tp *capture) size() int {
	tp.mu.Lock()
	defer tp.mu.Unlock()
	n := 0
	for _, b := range tp.buf {
		n += b.Len()
	}
	return n
}

// logEverything makes hosts log all that they can: every request in the log, a span
// for each hop, and links that can be read.
func logEverything(set *config.Settings) {
	set.Logs.Level = 4
	set.Traces = config.Traces{Exporter: "stdout", Ratio: 1}
	set.Peers.Plain = true
	set.Peers.CertFile, set.Peers.KeyFile, set.Peers.CAFile = "", "", ""
}

// platformValues returns all that the platform keeps.
func (f *fleet) platformValues() map[string]string {
	var all map[string]store.Value
	getJSON(f.t, f.platform+"/dev/values", &all)
	out := make(map[string]string, len(all))
	for key, v := range all {
		out[key] = string(v.Body)
	}
	return out
}

// stopHosts ends the entry hosts gracefully, so that the last spans are out.
func (f *fleet) stopHosts(t *testing.T) {
	t.Helper()
	for _, m := range f.hosts {
		m.signal(t, syscall.SIGTERM)
	}
	for _, m := range f.hosts {
		eventually(t, string(m.id)+" ends", m.exited)
	}
}

// span is what a test reads of a span.
type span struct{ Name string }

// spans returns the spans that a host has printed.
func (m *fleetHost) spans() []span {
	var all []span
	for line := range strings.Lines(m.output.String()) {
		var s span
		if strings.HasPrefix(line, "{") && json.Unmarshal([]byte(line), &s) == nil {
			all = append(all, s)
		}
	}
	return all
}
