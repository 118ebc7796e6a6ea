// Package event defines the events that the reducer of package core consumes
// and the effects that it returns, as plain typed values.
//
// # Usage
//
// Traffic goroutines, the peer links, the platform client and the timer
// service send events to the control loop. The loop passes each to the reducer
// and executes the returned effects in order:
//
//	for _, eff := range red.Step(now, ev) {
//		execute(eff)
//	}
//
// Events and effects have a JSON form in camel case, so that a run can be
// recorded and replayed:
//
//	line, err := event.EncodeEvent(now, ev)
//	now, ev, err := event.DecodeEvent(line)
//
// No event or effect contains the text of a prompt or an answer. Bodies stay
// with the goroutine that serves the request; the reducer sees only sizes and
// digests of prompt blocks.
package event

// Event is an input of one step of the reducer. The set is closed: only types
// of this package implement it.
type Event interface{ isEvent() }

// Effect is an action that the reducer asks the loop to execute. The set is
// closed.
type Effect interface{ isEffect() }
