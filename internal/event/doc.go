// Package event holds the events that go into the reducer of package core and
// the effects that come out of it, as plain typed values.
//
// # Usage
//
// Traffic goroutines, the peer links, the platform client and the timer
// service send events to the control loop. The loop hands each to the reducer
// and carries out the effects in the order given:
//
//	for _, eff := range red.Step(now, ev) {
//		carryOut(eff)
//	}
//
// Both have a JSON form in camel case, so that a recorded run can be stored,
// read and replayed:
//
//	line, err := event.EncodeEvent(now, ev)
//	now, ev, err := event.DecodeEvent(line)
//
// No event or effect holds the text of a prompt or an answer. Bodies stay
// with the goroutine that serves the request; the reducer sees sizes and
// digests of prompt blocks only.
package event

// Event is a value that the reducer can be stepped with. The set is closed:
// the types of this package are all there are.
type Event interface{ isEvent() }

// Effect is a value that the reducer asks the loop to carry out. The set is
// closed.
type Effect interface{ isEffect() }
