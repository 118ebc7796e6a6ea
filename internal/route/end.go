package route

import "time"

// Weights of the risk that a stream does not end before its deadline.
const (
	// paceError is the relative error of the pace of a stream that is predicted from the present
	// pace at its target: prompts that arrive later slow it down, and others end.
	paceError = 0.35
	// unfinishedCostSeconds is what an answer costs its caller that breaks off at its deadline.
	// The target has then worked for nothing, too.
	unfinishedCostSeconds = 2.0
)

// endRisk returns the probability that a stream is still running at its deadline if it begins after
// wait and its events arrive at the given interval. It is zero if the interval or the length of the
// answer is unknown.
func endRisk(v *view, wait, interval time.Duration) float64 {
	q := v.q
	if q.Deadline == 0 || interval <= 0 || !q.Length.Known() {
		return 0
	}
	left := q.Deadline.Sub(v.now) - wait
	return q.Length.Exceeds(float64(q.DeliveredTokens)+float64(left)/float64(interval), paceError)
}
