package target

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/httpcl"
	"verbenadale.example/verbenadale/pkg/ident"
)

// ErrBadReport is returned if a target sent no valid report.
var ErrBadReport = errors.New("target: no valid report")

// maxReportBytes bounds the body of a report.
const maxReportBytes = 1 << 20

// Load reads the load report of a target. If another target answers at the
// address, the address was reassigned after the host list was read, and Load
// fails with ErrBadReport: accepting the report would make a dead target look alive.
func (c *Client) Load(ctx context.Context, t event.Target) (event.Load, error) {
	var ld event.Load
	if _, err := c.getReport(ctx, t.URL+"/load", &ld); err != nil {
		return event.Load{}, err
	}
	if ld.Target != "" && ld.Target != t.ID {
		return event.Load{}, errors.Wrapf(ErrBadReport, "address of target %s is answered by target %s", t.ID, ld.Target)
	}
	ld.Target = t.ID
	return ld, nil
}

// livesTimeout limits the wait for a target that is asked whether it lives.
const livesTimeout = time.Second

// Lives reports whether a target answers under its own id. A report that names none could be that of another target at
// the address.
func (c *Client) Lives(ctx context.Context, t event.Target) bool {
	ctx, cancel := context.WithTimeout(ctx, livesTimeout)
	defer cancel()
	var ld event.Load
	_, err := c.getReport(ctx, t.URL+"/load", &ld)
	return err == nil && ld.Target == t.ID
}

// CacheReport is the body of an answer to GET /cache.
type CacheReport struct {
	Incarnation ident.Incarnation `json:"incarnation"`
	Events      []CacheEvent      `json:"events"`
}

// CacheEvent lists the prefixes that an engine stored and dropped.
type CacheEvent struct {
	Seq     uint64   `json:"seq"`
	Stored  []uint64 `json:"stored,omitempty"`
	Dropped []uint64 `json:"dropped,omitempty"`
}

// Cache reads the cache events of an engine that follow a sequence number. A
// target without cache events answers 404, and Cache returns none without an error.
func (c *Client) Cache(ctx context.Context, t event.Target, after uint64) ([]event.CacheChanged, error) {
	var rep CacheReport
	status, err := c.getReport(ctx, t.URL+"/cache?after="+strconv.FormatUint(after, 10), &rep)
	if status == http.StatusNotFound {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	evs := make([]event.CacheChanged, 0, len(rep.Events))
	for _, e := range rep.Events {
		evs = append(evs, event.CacheChanged{
			Target: t.ID, Incarnation: rep.Incarnation, Seq: e.Seq, Stored: e.Stored, Dropped: e.Dropped,
		})
	}
	return evs, nil
}

func (c *Client) getReport(ctx context.Context, url string, v any) (int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, errors.Wrap(ErrConnection, err.Error())
	}
	// The library's default User-Agent would be a quarter of the bytes of a poll.
	req.Header["User-Agent"] = nil
	res, err := c.pooled.Do(req)
	if errors.Is(err, httpcl.ErrMalformed) {
		return 0, errors.Wrap(ErrBadReport, err.Error())
	}
	if err != nil {
		return 0, errors.Wrap(ErrConnection, err.Error())
	}
	defer res.Body.Close()
	// The connection is reused only if the body is read to its end.
	defer func() { _, _ = io.CopyN(io.Discard, res.Body, maxReportBytes) }()
	if res.StatusCode != http.StatusOK {
		return res.StatusCode, errors.Wrapf(ErrBadReport, "status %d", res.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(res.Body, maxReportBytes)).Decode(v); err != nil {
		return res.StatusCode, errors.Wrap(ErrBadReport, err.Error())
	}
	return res.StatusCode, nil
}
