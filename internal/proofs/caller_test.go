package proofs

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"
	"testing"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/codes"
)

// result is what a caller got for one request.
type result struct {
	status int
	// outcome is empty where the connection broke without a word.
	outcome event.Outcome
	code    codes.ID
	entries []string
	body    string
}

// refusalBody is what a caller reads of a refusal.
type refusalBody struct {
	Error struct {
		Code    codes.ID      `json:"code"`
		Outcome event.Outcome `json:"outcome"`
		Entries []string      `json:"entries"`
	} `json:"error"`
}

// callerHTTP is the client of the callers. It uses each connection once, so
// that the death of a host is seen by the request in flight alone.
var callerHTTP = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2 * testTimeout}

// sendRequest sends one request and never fails the test: a connection that breaks is
// an answer without a word.
func sendRequest(ctx context.Context, base, path, body string, header map[string]string) result {
	res, err := openRequest(ctx, base, path, body, header)
	if err != nil {
		return result{}
	}
	return readResult(res)
}

// openRequest sends one request and returns once its answer has begun.
func openRequest(ctx context.Context, base, path, body string, header map[string]string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer key-1")
	req.Header.Set("Content-Type", "application/json")
	for k, v := range header {
		req.Header.Set(k, v)
	}
	return callerHTTP.Do(req)
}

// readResult reads an answer to its end.
func readResult(res *http.Response) result {
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return result{}
	}
	// The outcome of a stream comes after it.
	said := cmp.Or(res.Header.Get("Verbenadale-Outcome"), res.Trailer.Get("Verbenadale-Outcome"))
	ans := result{status: res.StatusCode, outcome: event.Outcome(said), body: string(b)}
	var ref refusalBody
	if json.Unmarshal(b, &ref) == nil {
		ans.code, ans.entries = ref.Error.Code, ref.Error.Entries
	}
	return ans
}

// fetchEntries asks a host which hosts to use for a profile.
func fetchEntries(base, profile string) []string {
	req, err := http.NewRequest(http.MethodGet, base+"/v1/entries?profile="+url.QueryEscape(profile), nil)
	if err != nil {
		return nil
	}
	req.Header.Set("Authorization", "Bearer key-1")
	res, err := callerHTTP.Do(req)
	if err != nil {
		return nil
	}
	defer res.Body.Close()
	var list struct {
		Entries []string `json:"entries"`
	}
	_ = json.NewDecoder(res.Body).Decode(&list)
	return list.Entries
}

// putJSON sends JSON to the control of a stand-in.
func putJSON(t *testing.T, url string, v any) {
	t.Helper()
	b, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	req, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(b))
	if err != nil {
		t.Fatal(err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	res.Body.Close()
	if res.StatusCode != http.StatusOK {
		t.Fatalf("%s: %s", url, res.Status)
	}
}
