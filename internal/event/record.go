package event

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"

	"verbenadale.example/verbenadale/pkg/ident"
)

// record is the JSON form of an event or effect: its fields with its type name and time.
type record struct {
	At   ident.Time      `json:"at"`
	Type string          `json:"type"`
	Body json.RawMessage `json:"body"`
}

// eventTypes and effectTypes map the recorded name of each type to the type. A
// type that is missing here can't be decoded; TestEveryTypeIsRecorded detects it.
var (
	eventTypes = typesByName[Event](
		RequestArrived{}, AttemptSent{}, FirstToken{}, StreamPaced{}, AttemptSilent{}, AttemptEnded{}, CallerLeft{}, KeyClaimed{},
		TicketAsked{}, EntriesAsked{}, NearbyAsked{}, RouteAsked{}, StatusAsked{}, Tick{}, DrainAsked{}, DrainExpired{}, PeerUp{},
		PeerDown{}, DigestReceived{}, AdmissionsReceived{}, TargetEndsReceived{}, BegunReceived{}, BegunAsked{}, BegunAnswered{}, SummaryReceived{}, ChangesReceived{}, SnapshotReceived{},
		ChangesWanted{}, BarAsked{}, BarAnswered{}, LoadReported{}, LoadSeen{}, ProbeAnswered{}, MemoryReported{}, LoadFailed{}, CacheChanged{},
		HostsRead{}, BuildsRecorded{}, BuildsRead{}, BegunRead{}, BegunSaved{}, PlatformFailed{}, WatchIdle{}, ReadProgress{}, ListRead{},
	)
	effectTypes = typesByName[Effect](
		Dispatch{}, Forward{}, Refuse{}, Finish{}, BreakOff{}, KeepAttempt{}, DropLinks{}, Replay{}, ForgetOutcome{}, Wake{},
		SendDigest{}, SendAdmissions{}, SendTargetEnds{}, SendBegun{}, AskBegun{}, AnswerBegun{}, RecordBuilds{}, ReadBuilds{}, SaveBegun{}, SendSummary{}, SendChanges{}, SendSnapshot{}, AskChanges{}, AskBar{},
		AnswerBar{}, ClaimKey{}, WatchChange{}, StopWatch{}, PaceReads{}, ReadList{}, ReadSnapshot{}, ReadHosts{}, PollLoad{}, AskMemory{},
		InForceNow{}, TicketIssued{}, EntriesAnswered{}, RouteAnswered{}, StatusAnswered{}, Drained{},
		Note{},
	)
)

func typesByName[T any](vs ...T) map[string]reflect.Type {
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

// EncodeEvent returns an event as one line of JSON.
func EncodeEvent(at ident.Time, ev Event) ([]byte, error) { return encode(at, ev) }

// EncodeEffect returns an effect as one line of JSON.
func EncodeEffect(at ident.Time, eff Effect) ([]byte, error) { return encode(at, eff) }

func encode(at ident.Time, v any) ([]byte, error) {
	body, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode %s: %w", TypeName(v), err)
	}
	return json.Marshal(record{At: at, Type: TypeName(v), Body: body})
}

// DecodeEvent parses a line written by EncodeEvent.
func DecodeEvent(line []byte) (ident.Time, Event, error) { return decode[Event](line, eventTypes) }

// DecodeEffect parses a line written by EncodeEffect.
func DecodeEffect(line []byte) (ident.Time, Effect, error) { return decode[Effect](line, effectTypes) }

func decode[T any](line []byte, types map[string]reflect.Type) (ident.Time, T, error) {
	var zero T
	var rec record
	if err := json.Unmarshal(line, &rec); err != nil {
		return 0, zero, fmt.Errorf("decode record: %w", err)
	}
	typ, ok := types[rec.Type]
	if !ok {
		return 0, zero, fmt.Errorf("decode record: unknown type %q", rec.Type)
	}
	ptr := reflect.New(typ)
	if err := json.Unmarshal(rec.Body, ptr.Interface()); err != nil {
		return 0, zero, fmt.Errorf("decode %s: %w", rec.Type, err)
	}
	return rec.At, ptr.Elem().Interface().(T), nil
}
