package front

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/poison"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// Headers exchanged between callers and entry hosts.
const (
	HeaderProfile  = "Verbenadale-Profile"
	HeaderTicket   = "Verbenadale-Ticket"
	HeaderDeadline = "Verbenadale-Deadline-Ms"
	HeaderRequest  = "Verbenadale-Request-Id"
	HeaderOutcome  = "Verbenadale-Outcome"
	HeaderKey      = "Idempotency-Key"
)

// headerPrefix is the prefix of the headers of this system.
const headerPrefix = "Verbenadale-"

// viaPseudonym names every entry host of the system in the header Via, so that targets learn no
// address.
const viaPseudonym = "verbenadale"

// Limits of header values. The longest deadline is the longest that profiles allow.
const (
	maxHeaderValue = 255
	maxDeadlineMs  = 3_600_000
)

// newRequestID returns a globally unique request id.
func newRequestID() ident.RequestID { return ident.RequestID("req-" + newSecret()) }

// secretBytes is the length of a secret that can't be guessed.
const secretBytes = 16

func newSecret() string {
	var b [secretBytes]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

func newSpreadSeed() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return binary.BigEndian.Uint64(b[:])
}

// checkHead checks the form of the headers.
func (x *exchange) checkHead() *event.Refuse {
	for k, vs := range x.r.Header {
		if isInternalHeader(k) {
			return x.notRun(codes.ForgedEnvelope, "leave out the header "+k)
		}
		if isSingleValued(k) && len(vs) > 1 {
			return x.notRun(codes.BadRequest, "send the header "+k+" once")
		}
	}
	for _, k := range []string{HeaderTicket, HeaderKey, HeaderProfile} {
		if v := x.r.Header.Get(k); !isVisibleASCII(v) {
			return x.notRun(codes.BadRequest, fmt.Sprintf("the header %s takes 1 to %d visible ASCII characters", k, maxHeaderValue))
		}
	}
	if x.r.Header.Get(HeaderTicket) != "" && x.r.Header.Get(HeaderKey) != "" {
		return x.notRun(codes.BadRequest, "send either "+HeaderTicket+" or "+HeaderKey)
	}
	return nil
}

// isInternalHeader reports whether only entry hosts and targets may send a header. A caller that
// could set the hops or the attempt could evade the limit on crossings or obtain the outcome of
// another caller's request.
func isInternalHeader(key string) bool {
	switch key {
	case HeaderProfile, HeaderTicket, HeaderDeadline:
		return false
	}
	return strings.HasPrefix(key, headerPrefix)
}

// isSingleValued reports whether a header may occur only once. With two values, this host could use
// one and a proxy in front of it the other.
func isSingleValued(key string) bool {
	switch key {
	case HeaderProfile, HeaderTicket, HeaderDeadline, HeaderKey, "Authorization", "Content-Type":
		return true
	}
	return false
}

// isVisibleASCII reports whether a value has at most maxHeaderValue characters, all of them visible
// ASCII. An empty value passes.
func isVisibleASCII(v string) bool {
	if len(v) > maxHeaderValue {
		return false
	}
	for i := range len(v) {
		if v[i] <= ' ' || v[i] > '~' {
			return false
		}
	}
	return true
}

// authenticate finds the account by its API key.
func (x *exchange) authenticate() *event.Refuse {
	book := x.cfg.Book()
	if book.Rev() == 0 {
		return x.notRun(codes.NotReady, "")
	}
	scheme, key, _ := strings.Cut(x.r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || key == "" {
		return x.notRun(codes.UnknownKey, "send the header Authorization: Bearer KEY")
	}
	c, ok := book.ClientByDigest(rules.Digest(strings.TrimSpace(key)))
	if !ok {
		return x.notRun(codes.UnknownKey, "")
	}
	x.client = c
	return nil
}

// checkProfile checks whether the account may use the profile at this host.
func (x *exchange) checkProfile(name ident.Profile) *event.Refuse {
	p, ok := x.cfg.Book().Profile(name)
	if !ok {
		return x.notRun(codes.UnknownProfile, fmt.Sprintf("%q", truncate(string(name))))
	}
	x.profile = p
	if !x.client.MayUse(p.Name) {
		return x.notRun(codes.ProfileForbidden, "")
	}
	if !p.Allows(x.client, x.cfg.Self.Place.Region) {
		ref := x.notRun(codes.OutsideResidency, "")
		ref.Entries = x.allowedEntries()
		return ref
	}
	return x.checkVia()
}

// truncate limits the length of a caller's text that is quoted in a message.
func truncate(s string) string {
	const maxLen = 64
	if len(s) > maxLen {
		return s[:maxLen] + "..."
	}
	return s
}

// checkVia detects a proxy outside the system that sends a request back to an entry host. The
// envelope does not pass through such a proxy, so the request would circulate until its deadline
// and occupy a slot on each round. The header Via, which proxies keep, counts the rounds.
func (x *exchange) checkVia() *event.Refuse {
	rounds := 0
	for _, v := range x.r.Header.Values("Via") {
		rounds += strings.Count(v, viaPseudonym)
	}
	if rounds > int(x.profile.MaxCrossings) {
		return x.notRun(codes.TooManyHops, "a proxy has sent the request round")
	}
	return nil
}

// via returns the header Via for targets.
func (x *exchange) via() string {
	vs := append(x.r.Header.Values("Via"), fmt.Sprintf("%d.%d %s", x.r.ProtoMajor, x.r.ProtoMinor, viaPseudonym))
	return strings.Join(vs, ", ")
}

// parseDeadline returns the deadline set by the caller, or zero for none.
func (x *exchange) parseDeadline() (ident.Time, *event.Refuse) {
	text := x.r.Header.Get(HeaderDeadline)
	if text == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms > maxDeadlineMs {
		return 0, x.notRun(codes.BadRequest, fmt.Sprintf("the header %s takes 1 to %d", HeaderDeadline, maxDeadlineMs))
	}
	if ms <= 0 {
		return 0, x.notRun(codes.DeadlinePast, "")
	}
	return x.startedAt.Add(time.Duration(ms) * time.Millisecond), nil
}

// newRequest returns the request after checking its headers. It checks profile too, unless it is
// empty because only the body names the profile.
func (x *exchange) newRequest(profile ident.Profile) (event.Request, *event.Refuse) {
	if ref := x.authenticate(); ref != nil {
		return event.Request{}, ref
	}
	at, ref := x.parseDeadline()
	if ref != nil {
		return event.Request{}, ref
	}
	if profile != "" {
		if ref := x.checkProfile(profile); ref != nil {
			return event.Request{}, ref
		}
	}
	if ref := x.checkBodyHeaders(); ref != nil {
		return event.Request{}, ref
	}
	return event.Request{ID: x.id, Account: x.client.Name, Deadline: at, Ticket: x.r.Header.Get(HeaderTicket)}, nil
}

// setDigests sets the digests that identify repeats of a request.
func (x *exchange) setDigests(req *event.Request) {
	req.Content = poison.ContentOf(req.Account, x.body.Bytes(), x.r.Method, x.r.URL.RequestURI(), string(req.Profile))
	key := x.r.Header.Get(HeaderKey)
	if key == "" && req.Ticket == "" {
		return
	}
	req.Fingerprint = digest(x.r.Method, x.r.URL.RequestURI(), string(x.body.Bytes()))
	if key != "" {
		req.Key = digest(string(req.Account), string(req.Profile), key)
	}
}

// digest returns the SHA-256 digest of parts, each preceded by its length, so that different lists
// of parts never yield the same input.
func digest(parts ...string) string {
	h := sha256.New()
	for _, p := range parts {
		fmt.Fprintf(h, "%d:", len(p))
		_, _ = h.Write([]byte(p))
	}
	return hex.EncodeToString(h.Sum(nil))
}

func (x *exchange) unknownPath() *event.Refuse { return x.notRun(codes.UnknownPath, "") }

func (x *exchange) wrongMethod() *event.Refuse {
	return x.notRun(codes.WrongMethod, "")
}

// statusOf returns the HTTP status of a code.
func statusOf(c codes.Code) int {
	if c.Status == 0 {
		return http.StatusInternalServerError
	}
	return c.Status
}
