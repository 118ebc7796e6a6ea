package event

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"

	"verbenadale.example/verbenadale/pkg/ident"
)

// record is the JSON form of an event or effect: its type by name beside its
// fields.
type record struct {
	At   ident.Time      `json:"at"`
	Type string          `json:"type"`
	Body json.RawMessage `json:"body"`
}

// eventTypes and effectTypes hold every type by its recorded name. A type
// that is missing here can't be recorded, which the test of this package
// notices.
var (
	eventTypes = namesOf[Event](
		RequestArrived{}, AttemptSent{}, FirstToken{}, StreamPaced{}, AttemptSilent{}, AttemptEnded{}, CallerLeft{}, KeyClaimed{},
		TicketAsked{}, EntriesAsked{}, NearbyAsked{}, RouteAsked{}, StatusAsked{}, Tick{}, DrainAsked{}, DrainExpired{}, PeerUp{},
		PeerDown{}, DigestReceived{}, SummaryReceived{}, ChangesReceived{}, SnapshotReceived{},
		ChangesWanted{}, BarAsked{}, BarAnswered{}, LoadReported{}, LoadSeen{}, ProbeAnswered{}, MemoryReported{}, LoadFailed{}, CacheChanged{},
		HostsRead{}, PlatformFailed{}, WatchIdle{}, ReadProgress{},
	)
	effectTypes = namesOf[Effect](
		Dispatch{}, Forward{}, Refuse{}, Finish{}, BreakOff{}, KeepAttempt{}, DropLinks{}, Replay{}, ForgetOutcome{}, Wake{},
		SendDigest{}, SendSummary{}, SendChanges{}, SendSnapshot{}, AskChanges{}, AskBar{},
		AnswerBar{}, ClaimKey{}, WatchChange{}, StopWatch{}, PaceReads{}, ReadSnapshot{}, ReadHosts{}, PollLoad{}, AskMemory{},
		InForceNow{}, TicketIssued{}, EntriesAnswered{}, RouteAnswered{}, StatusAnswered{}, Drained{},
		Note{},
	)
)

func namesOf[T any](vs ...T) map[string]reflect.Type {
	types := make(map[string]reflect.Type, len(vs))
	for _, v := range vs {
		types[TypeName(v)] = reflect.TypeOf(v)
	}
	return types
}

// TypeName returns the recorded name of an event or effect, such as
// requestArrived.
func TypeName(v any) string {
	name := reflect.TypeOf(v).Name()
	return strings.ToLower(name[:1]) + name[1:]
}

// EncodeEvent writes an event as one line of JSON.
func EncodeEvent(at ident.Time, ev Event) ([]byte, error) { return encode(at, ev) }

// EncodeEffect writes an effect as one line of JSON.
func EncodeEffect(at ident.Time, eff Effect) ([]byte, error) { return encode(at, eff) }

func encode(at ident.Time, v any) ([]byte, error) {
	body, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode %s: %w", TypeName(v), err)
	}
	return json.Marshal(record{At: at, Type: TypeName(v), Body: body})
}

// DecodeEvent reads a line that EncodeEvent wrote.
func DecodeEvent(line []byte) (ident.Time, Event, error) { return decode[Event](line, eventTypes) }

// DecodeEffect reads a line that EncodeEffect wrote.
func DecodeEffect(line []byte) (ident.Time, Effect, error) { return decode[Effect](line, effectTypes) }

func decode[T any](line []byte, types map[string]reflect.Type) (ident.Time, T, error) {
	var zero T
	var rec record
	if err := json.Unmarshal(line, &rec); err != nil {
		return 0, zero, fmt.Errorf("decode record: %w", err)
	}
	typ, ok := types[rec.Type]
	if !ok {
		return 0, zero, fmt.Errorf("decode record: type %q is not known", rec.Type)
	}
	ptr := reflect.New(typ)
	if err := json.Unmarshal(rec.Body, ptr.Interface()); err != nil {
		return 0, zero, fmt.Errorf("decode %s: %w", rec.Type, err)
	}
	return rec.At, ptr.Elem().Interface().(T), nil
}
