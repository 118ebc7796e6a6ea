package proofs

import (
	"bufio"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/google/go-cmp/cmp"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/store"
	"verbenadale.example/verbenadale/pkg/rules"
)

const longRequest = `{"model":"obituary","stream":true,"max_tokens":100,"messages":[{"role":"user","content":"hello"}]}`

// startSlowEntry starts an entry host in front of a slow engine, and a stream through it.
func startSlowEntry(t *testing.T) (*entry, *bufio.Reader) {
	t.Helper()
	place := event.Place{DataCentre: "uvs", Region: "uvs"}
	platform := startPlatform(t)
	eng := startEngine(t, "uvs-e1", place, "-model", "draft", "-tokenTime", "30ms")
	putHosts(t, platform, store.Hosts{Targets: []event.Target{eng}})
	en := startEntry(t, platform, "uvs-1", place)
	applyItems(t, en,
		item(t, rules.KindProfile, "obituary", rules.Profile{Models: []rules.Serve{{Model: "draft"}}}),
		item(t, rules.KindAccount, "foundation", rules.Client{KeyDigest: rules.Digest("key-1")}),
	)
	var res *http.Response
	eventually(t, "a stream begins", func() bool {
		req, err := http.NewRequest(http.MethodPost, en.callers()+"/v1/chat/completions", strings.NewReader(longRequest))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer key-1")
		res, err = http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		if res.StatusCode != http.StatusOK {
			res.Body.Close()
		}
		return res.StatusCode == http.StatusOK
	})
	t.Cleanup(func() { _ = res.Body.Close() })
	return en, bufio.NewReader(res.Body)
}

func terminate(t *testing.T, p *proc) {
	t.Helper()
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
}

func readRest(r *bufio.Reader) string {
	var b strings.Builder
	_, _ = r.WriteTo(&b)
	return b.String()
}

// A graceful stop must finish running streams, and then the process must exit.
func TestStopFinishesStreams(t *testing.T) {
	en, r := startSlowEntry(t)
	terminate(t, en.proc)
	eventually(t, "new work is refused", func() bool {
		rep := post(t, en.callers()+"/v1/chat/completions", "key-1", longRequest)
		return rep.status == http.StatusServiceUnavailable && strings.Contains(rep.body, "VB1013") &&
			rep.header.Get("Verbenadale-Outcome") == "notRun"
	})
	text := readRest(r)
	if !strings.HasSuffix(text, "data: [DONE]\n\n") {
		t.Errorf("the stream was cut: %q", text[max(len(text)-100, 0):])
	}
	eventually(t, "the host has stopped", en.exited)
	if diff := cmp.Diff(0, en.cmd.ProcessState.ExitCode()); diff != "" {
		t.Errorf("exit code (-want +got):\n%s", diff)
	}
}

// A second signal must stop the host at once, and its log must report the one stream that this cut.
func TestSecondSignalCutsALoneStream(t *testing.T) {
	en, r := startSlowEntry(t)
	terminate(t, en.proc)
	eventually(t, "the host drains", func() bool { return strings.Contains(en.output.String(), "draining") })
	terminate(t, en.proc)
	eventually(t, "the host has stopped", en.exited)
	if text := readRest(r); strings.Contains(text, "[DONE]") {
		t.Errorf("a cut stream has its end marker: %q", text)
	}
	if out := en.output.String(); !strings.Contains(out, "requestsCut=1") {
		t.Errorf("the log does not report the cut request: %s", out)
	}
}
