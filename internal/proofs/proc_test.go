package proofs

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"verbenadale.example/verbenadale/internal/config"
	"verbenadale.example/verbenadale/internal/dev/ports"
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/store"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// binDir is the folder of the compiled programs. They are built once for all tests.
var binDir string

func TestMain(m *testing.M) {
	os.Exit(runAll(m))
}

func runAll(m *testing.M) int {
	dir, err := os.MkdirTemp("", "proofs")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binDir = dir
	build := exec.Command("go", "build", "-o", dir, "../../cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// Each process has its own loopback IP address, so all can use the same ports.
const (
	callersPort   = 8080
	peersPort     = 7070
	operatorsPort = 9090
	platformPort  = 7900
	targetPort    = 8000
)

// outputBuffer collects the output of a process.
type outputBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *outputBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

func (l *outputBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

// proc is a running program.
type proc struct {
	cmd    *exec.Cmd
	output *outputBuffer
	done   chan struct{}
}

// start runs a program and kills it when the test ends.
func start(t *testing.T, name string, args ...string) *proc {
	t.Helper()
	p := &proc{cmd: exec.Command(filepath.Join(binDir, name), args...), output: &outputBuffer{}, done: make(chan struct{})}
	p.cmd.Stdout = p.output
	p.cmd.Stderr = p.output
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go p.run()
	t.Cleanup(func() { p.kill(t) })
	return p
}

func (p *proc) run() {
	_ = p.cmd.Wait()
	close(p.done)
}

func (p *proc) kill(t *testing.T) {
	_ = p.cmd.Process.Kill()
	<-p.done
	if t.Failed() {
		t.Logf("%s:\n%s", strings.Join(p.cmd.Args[1:], " "), p.output)
	}
}

// testTimeout bounds each wait in the tests. It is long, so that no result depends on tight timing.
const testTimeout = 20 * time.Second

// eventually polls ok until it returns true, and fails the test after testTimeout.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatalf("not within %v: %s", testTimeout, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func reachable(url string) func() bool {
	return func() bool {
		res, err := http.Get(url)
		if err != nil {
			return false
		}
		res.Body.Close()
		return true
	}
}

// entry is a running entry host.
type entry struct {
	*proc
	settings config.Settings
}

func (e *entry) callers() string   { return "http://" + e.settings.Callers.Listen }
func (e *entry) operators() string { return "http://" + e.settings.Operators.Listen }

// testLimits are the limits of the entry hosts in most tests.
var testLimits = config.Limits{MaxBufferedBytes: 64 << 20, MaxBodyBytes: 1 << 20, MaxHeaderBytes: 32 << 10, MaxConnections: 1000, MaxRequests: 500, HeaderMs: 5000, BodyMs: 5000}

const operatorToken = "operator-token"

func startPlatform(t *testing.T) string {
	t.Helper()
	addr := fmt.Sprintf("%s:%d", ports.IP(), platformPort)
	start(t, "verbdev", "platform", "-listen", addr)
	eventually(t, "the platform answers", reachable("http://"+addr+"/v1/hosts"))
	return "http://" + addr
}

func startEngine(t *testing.T, id ident.TargetID, place event.Place, args ...string) event.Target {
	t.Helper()
	addr := fmt.Sprintf("%s:%d", ports.IP(), targetPort)
	start(t, "verbdev", append([]string{"engine", "-listen", addr, "-id", string(id)}, args...)...)
	eventually(t, "the engine answers", reachable("http://"+addr+"/load"))
	return event.Target{ID: id, Kind: event.Engine, Place: place, URL: "http://" + addr}
}

func startEntry(t *testing.T, platform string, id ident.EntryID, place event.Place) *entry {
	t.Helper()
	return startEntryWith(t, entrySettings(platform, id, place))
}

func entrySettings(platform string, id ident.EntryID, place event.Place) config.Settings {
	ip := ports.IP()
	return config.Settings{
		Entry: id, DataCentre: place.DataCentre, Region: place.Region,
		Callers:   config.Callers{Listen: fmt.Sprintf("%s:%d", ip, callersPort)},
		Peers:     config.Peers{Listen: fmt.Sprintf("%s:%d", ip, peersPort), Plain: true},
		Operators: config.Operators{Listen: fmt.Sprintf("%s:%d", ip, operatorsPort), Known: []config.Operator{{Name: "ops", TokenDigest: rules.Digest(operatorToken)}}},
		Platform:  config.Platform{URL: platform, TimeoutMs: 1000, CallsPerSecond: 50},
		Limits:    testLimits,
		Traces:    config.Traces{Exporter: "none"},
	}
}

func startEntryWith(t *testing.T, set config.Settings) *entry {
	t.Helper()
	file := filepath.Join(t.TempDir(), "entry.json")
	b, err := json.Marshal(set)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, b, 0o600); err != nil {
		t.Fatal(err)
	}
	e := &entry{proc: start(t, "verbenadale", "serve", "-settings", file), settings: set}
	eventually(t, "the entry host answers", reachable(e.operators()+"/healthz"))
	return e
}

func putHosts(t *testing.T, platform string, hs store.Hosts) {
	t.Helper()
	b, err := json.Marshal(hs)
	if err != nil {
		t.Fatal(err)
	}
	req, err := http.NewRequest(http.MethodPut, platform+"/dev/hosts", bytes.NewReader(b))
	if err != nil {
		t.Fatal(err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	res.Body.Close()
}

func item(t *testing.T, kind rules.Kind, name string, doc any) rules.Item {
	t.Helper()
	b, err := json.Marshal(doc)
	if err != nil {
		t.Fatal(err)
	}
	return rules.Item{Kind: kind, Name: name, Doc: b}
}

// verbctl runs the operators' client and returns its output.
func verbctl(t *testing.T, e *entry, args ...string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	args = append([]string{"-entry", e.operators(), "-token", operatorToken}, args...)
	out, err := exec.CommandContext(ctx, filepath.Join(binDir, "verbctl"), args...).CombinedOutput()
	return string(out), err
}

func applyItems(t *testing.T, e *entry, items ...rules.Item) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "items.json")
	b, err := json.Marshal(items)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, b, 0o600); err != nil {
		t.Fatal(err)
	}
	if out, err := verbctl(t, e, "apply", file); err != nil {
		t.Fatalf("apply: %v\n%s", err, out)
	}
}

// reply is an HTTP response to a caller, with the data lines of its event stream.
type reply struct {
	status int
	header http.Header
	body   string
	events []string
}

func post(t *testing.T, url, key, body string) reply {
	t.Helper()
	return postWith(t, url, key, body, nil)
}

func postWith(t *testing.T, url, key, body string, header map[string]string) reply {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	rep := reply{status: res.StatusCode, header: res.Header, body: string(b)}
	sc := bufio.NewScanner(bytes.NewReader(b))
	for sc.Scan() {
		if data, ok := strings.CutPrefix(sc.Text(), "data: "); ok {
			rep.events = append(rep.events, data)
		}
	}
	for k, vs := range res.Trailer {
		rep.header[k] = vs
	}
	return rep
}
