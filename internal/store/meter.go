package store

import (
	"time"

	"github.com/pkg/errors"
	metrics "github.com/rcrowley/go-metrics"
)

// op names an operation in the metrics.
type op string

const (
	opGet       op = "get"
	opWatch     op = "watch"
	opPut       op = "put"
	opDelete    op = "delete"
	opGrant     op = "grant"
	opKeepAlive op = "keepAlive"
	opRevoke    op = "revoke"
	opHosts     op = "hosts"
	opDirectory op = "directory"
	opRegister  op = "register"
	opClaim     op = "claim"
)

// results names the errors in the metrics, in the order of the search.
var results = []struct {
	err  error
	name string
}{
	{ErrAbsent, "absent"},
	{ErrConflict, "conflict"},
	{ErrUnknown, "unknown"},
	{ErrIdle, "idle"},
	{ErrBudget, "budget"},
	{ErrLapsed, "lapsed"},
	{ErrTooLarge, "tooLarge"},
	{ErrDown, "down"},
}

func resultName(err error) string {
	if err == nil {
		return "ok"
	}
	for _, r := range results {
		if errors.Is(err, r.err) {
			return r.name
		}
	}
	return "other"
}

// meter counts a call by operation and result. A call that was never sent has
// no time to report.
func (c *Client) meter(o op, err error, took time.Duration) {
	name := "platform." + string(o)
	metrics.GetOrRegisterCounter(name+"."+resultName(err), c.cfg.Metrics).Inc(1)
	if !errors.Is(err, ErrBudget) {
		metrics.GetOrRegisterTimer(name, c.cfg.Metrics).Update(took)
	}
}
