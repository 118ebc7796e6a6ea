package store

import (
	"context"
	"time"

	"github.com/pkg/errors"
	metrics "github.com/rcrowley/go-metrics"
)

// op is the name of an operation in metrics.
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

// results maps errors to result names in metrics; the first match is used.
var results = []struct {
	err  error
	name string
}{
	{ErrAbsent, "absent"},
	{ErrConflict, "conflict"},
	{ErrUnknown, "unknown"},
	{ErrNoChange, "idle"},
	{ErrBudget, "budget"},
	{ErrLeaseExpired, "lapsed"},
	{ErrTooLarge, "tooLarge"},
	{ErrUnavailable, "down"},
}

// resultCancelled is the result of a call that its caller cancelled, such as a watch that another
// host takes over. Counting it as "down" would raise a false alarm about the platform.
const resultCancelled = "cancelled"

func resultName(caller context.Context, err error) string {
	if err == nil {
		return "ok"
	}
	if errors.Is(caller.Err(), context.Canceled) {
		return resultCancelled
	}
	for _, r := range results {
		if errors.Is(err, r.err) {
			return r.name
		}
	}
	return "other"
}

// meter counts a call by operation and result, and records its duration if it was sent.
func (c *Client) meter(o op, result string, took time.Duration) {
	name := "platform." + string(o)
	metrics.GetOrRegisterCounter(name+"."+result, c.cfg.Metrics).Inc(1)
	if took > 0 {
		metrics.GetOrRegisterTimer(name, c.cfg.Metrics).Update(took)
	}
}
