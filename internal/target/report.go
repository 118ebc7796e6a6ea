package target

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// ErrBadReport says that a target gave no report that can be read.
var ErrBadReport = errors.New("target: no readable report")

// maxReportBytes bounds a report.
const maxReportBytes = 1 << 20

// Load reads the load report of a target. A report of another target says
// that the address was given to somebody else since the host list was read;
// taken in, it would make a dead target look alive.
func (c *Client) Load(ctx context.Context, t event.Target) (event.Load, error) {
	var ld event.Load
	if _, err := c.getReport(ctx, t.URL+"/load", &ld); err != nil {
		return event.Load{}, err
	}
	if ld.Target != "" && ld.Target != t.ID {
		return event.Load{}, errors.Wrapf(ErrBadReport, "the address of %s answers as %s", t.ID, ld.Target)
	}
	ld.Target = t.ID
	return ld, nil
}

// CacheReport is the form of GET /cache.
type CacheReport struct {
	Incarnation ident.Incarnation `json:"incarnation"`
	Events      []CacheEvent      `json:"events"`
}

// CacheEvent says which prefixes an engine stored and dropped.
type CacheEvent struct {
	Seq     uint64   `json:"seq"`
	Stored  []uint64 `json:"stored,omitempty"`
	Dropped []uint64 `json:"dropped,omitempty"`
}

// Cache reads the cache events of an engine after a sequence number. A target
// that has none answers 404, which is no failure.
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
	// The name of the library would be a quarter of the bytes of a poll.
	req.Header["User-Agent"] = nil
	res, err := c.pooled.Do(req)
	if err != nil {
		return 0, errors.Wrap(ErrConnection, err.Error())
	}
	defer res.Body.Close()
	// A body that is read to its end leaves its connection for the next call.
	defer func() { _, _ = io.CopyN(io.Discard, res.Body, maxReportBytes) }()
	if res.StatusCode != http.StatusOK {
		return res.StatusCode, errors.Wrapf(ErrBadReport, "status %d", res.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(res.Body, maxReportBytes)).Decode(v); err != nil {
		return res.StatusCode, errors.Wrap(ErrBadReport, err.Error())
	}
	return res.StatusCode, nil
}
