package target

import (
	"io"
	"net/http"

	"github.com/pkg/errors"

	"verbenadale.example/verbenadale/internal/httpcl"
	"verbenadale.example/verbenadale/pkg/ident"
)

// ErrWrongAnswer is returned if an answer is not the target's answer to this request.
var ErrWrongAnswer = errors.New("target: not the answer to this request")

const (
	// maxAnswersRead bounds the answers that are read for one request, interim (1xx)
	// answers included, and maxSkippedBytes the body of each skipped answer.
	maxAnswersRead  = 2
	maxSkippedBytes = 1 << 20
)

// Exchange is one request to a target and what identifies its answer.
type Exchange struct {
	Addr    string
	Request *http.Request
	// ID is the id that the answer names. It is empty if the target names none in answers to such a request; then the first
	// answer that names none is returned.
	ID ident.RequestID
	// NamedBy returns the id of the request that an answer names, empty if it names none.
	NamedBy func(h http.Header) ident.RequestID
	// NewConn leaves out the idle connections.
	NewConn bool
	// OnSend, if set, is called before the first byte can leave.
	OnSend func()
	// OnOther, if set, is called for each answer that is not the one to this request.
	OnOther func(res *http.Response)
}

// isOwn reports whether an answer is the one to this request.
func (x Exchange) isOwn(res *http.Response) bool {
	if x.NamedBy(res.Header) == x.ID {
		return true
	}
	if x.OnOther != nil {
		x.OnOther(res)
	}
	return false
}

// readAnswer reads answers until it reaches the one to this request. proven reports whether it named the request and
// came first.
func (c *conn) readAnswer(x Exchange) (res *http.Response, proven bool, err error) {
	skippedAny := false
	for range maxAnswersRead {
		res, err := c.readHead(x.Request)
		if errors.Is(err, ErrWrongAnswer) {
			return nil, false, err
		}
		if err != nil {
			return nil, false, answerError(err)
		}
		if httpcl.IsInterim(res.StatusCode) {
			continue
		}
		if err := httpcl.CheckHead(res.StatusCode, res.Header); err != nil {
			return nil, false, errors.Wrap(ErrWrongAnswer, err.Error())
		}
		if x.isOwn(res) {
			return res, !skippedAny && x.ID != "", nil
		}
		if x.NamedBy(res.Header) == "" {
			return nil, false, errors.Wrap(ErrWrongAnswer, "it names no request")
		}
		if x.Request.Method == http.MethodHead {
			// Whether a body follows depends on the method of the other request.
			return nil, false, ErrWrongAnswer
		}
		n, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxSkippedBytes))
		if err != nil || n == maxSkippedBytes || res.Close {
			return nil, false, ErrWrongAnswer
		}
		skippedAny = true
	}
	return nil, false, ErrWrongAnswer
}
