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

// result is what a caller received for one request.
type result struct {
	status int
	// outcome is empty if the connection broke before an outcome was received.
	outcome event.Outcome
	code    codes.ID
	entries []string
	body    string
}

// refusalBody is the JSON body of a refusal.
type refusalBody struct {
	Error struct {
		Code    codes.ID      `json:"code"`
		Outcome event.Outcome `json:"outcome"`
		Entries []string      `json:"entries"`
	} `json:"error"`
}

// callerHTTP sends the callers' requests. It uses each connection once, so that the
// death of a host affects only the request in flight.
var callerHTTP = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2 * testTimeout}

// sendRequest sends one request and reads the answer. It never fails the test: a broken
// connection gives the zero result.
func sendRequest(ctx context.Context, base, path, body string, header map[string]string) result {
	res, err := openRequest(ctx, base, path, body, header)
	if err != nil {
		return result{}
	}
	return readResult(res)
}

// openRequest sends one request and returns when the response headers arrive.
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

// readResult reads the rest of a response.
func readResult(res *http.Response) result {
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return result{}
	}
	// A stream carries its outcome in the trailer.
	outcome := cmp.Or(res.Header.Get("Verbenadale-Outcome"), res.Trailer.Get("Verbenadale-Outcome"))
	ans := result{status: res.StatusCode, outcome: event.Outcome(outcome), body: string(b)}
	var ref refusalBody
	if json.Unmarshal(b, &ref) == nil {
		ans.code, ans.entries = ref.Error.Code, ref.Error.Entries
	}
	return ans
}

// fetchEntries asks a host which entry hosts callers of a profile should use.
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

// putJSON sends JSON to a control endpoint of a stand-in.
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
