package front

import (
	"net/http"
	"net/url"
	"strings"
	"unicode"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/serve"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
)

// servicePrefix is the prefix of the paths of plain services.
const servicePrefix = "/v1/services/"

// serviceMethods are the methods that plain services receive.
var serviceMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

// serviceHeaders are the headers that are forwarded to plain services. Keys, cookies and addresses
// of callers are not.
var serviceHeaders = []string{
	"Accept", "Accept-Language", "Content-Language", "Content-Type",
	"If-Match", "If-Modified-Since", "If-None-Match", "If-Unmodified-Since",
}

func (x *exchange) service() *event.Refuse {
	profile, path, ok := splitServicePath(x.r.URL.EscapedPath())
	if !ok {
		return x.notRun(codes.BadRequest, "write the path as "+servicePrefix+"PROFILE/PATH")
	}
	if headerProfile := x.r.Header.Get(HeaderProfile); headerProfile != "" && ident.Profile(headerProfile) != profile {
		return x.notRun(codes.BadRequest, "the path and "+HeaderProfile+" name different profiles")
	}
	req, ref := x.newRequest(profile)
	if ref != nil {
		return ref
	}
	if x.profile.Service == "" {
		return x.notRun(codes.BadRequest, "the profile is of a model; use /v1/chat/completions")
	}
	if ref := x.readBody(); ref != nil {
		return ref
	}
	req.Profile = profile
	req.Stream = strings.Contains(x.r.Header.Get("Accept"), "text/event-stream")
	x.setDigests(&req)
	if x.r.URL.RawQuery != "" {
		path += "?" + x.r.URL.RawQuery
	}
	call := serve.Call{Method: x.r.Method, Path: path, Header: x.serviceHeader(), Body: x.body.Bytes(), Stream: req.Stream, Ending: x.ending}
	x.run(call, req, false)
	return nil
}

func (x *exchange) serviceHeader() http.Header {
	h := http.Header{"Via": {x.via()}}
	for _, k := range serviceHeaders {
		if vs := x.r.Header.Values(k); len(vs) > 0 {
			h[k] = vs
		}
	}
	return h
}

// splitServicePath splits the escaped path of a service call into the profile and the path at the
// service. The path is forwarded as written. A path with an ambiguous segment, such as a dot segment,
// is refused, since a later parser could resolve it to a place outside the service.
func splitServicePath(path string) (ident.Profile, string, bool) {
	rest, ok := strings.CutPrefix(path, servicePrefix)
	if !ok {
		return "", "", false
	}
	name, tail, _ := strings.Cut(rest, "/")
	profile, err := url.PathUnescape(name)
	if err != nil || profile == "" {
		return "", "", false
	}
	for seg := range strings.SplitSeq(tail, "/") {
		if !isUnambiguous(seg) {
			return "", "", false
		}
	}
	return ident.Profile(profile), "/" + tail, true
}

// isUnambiguous reports whether every parser interprets a segment of an escaped path in the same way.
func isUnambiguous(seg string) bool {
	text, err := url.PathUnescape(seg)
	if err != nil || text == "." || text == ".." || strings.ContainsAny(seg, "?#") {
		return false
	}
	return !strings.ContainsFunc(text, func(r rune) bool {
		return r == '/' || r == '\\' || unicode.IsControl(r)
	})
}
