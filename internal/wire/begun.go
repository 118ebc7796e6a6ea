package wire

import (
	"slices"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

func fromBuild(b ident.Build) string { return string(b) }

func toBuild(b string) ident.Build { return ident.Build(b) }

func fromServiceBuild(sb event.ServiceBuild) *ServiceBuild {
	return &ServiceBuild{Service: sb.Service, Build: string(sb.Build)}
}

func toServiceBuild(p *ServiceBuild) event.ServiceBuild {
	return event.ServiceBuild{Service: p.GetService(), Build: ident.Build(p.GetBuild())}
}

func fromRecord(r event.BuildRecord) *BuildRecord {
	return &BuildRecord{Service: r.Service, Builds: convert(r.Builds, fromBuild), Revision: r.Revision}
}

func toRecord(p *BuildRecord) event.BuildRecord {
	return event.BuildRecord{Service: p.GetService(), Builds: convert(p.GetBuilds(), toBuild), Revision: p.GetRevision()}
}

// FromBegun converts streams to columns.
func FromBegun(streams []event.BegunStream, relay bool) *BegunStreams {
	p := &BegunStreams{Relay: relay}
	var builds []event.ServiceBuild
	for _, s := range streams {
		i := slices.Index(builds, s.ServiceBuild)
		if i < 0 {
			i = len(builds)
			builds = append(builds, s.ServiceBuild)
		}
		p.Streams = append(p.Streams, uint64(s.Stream))
		p.Indexes = append(p.Indexes, uint32(i))
		p.TtlsMs = append(p.TtlsMs, millis(s.TTL))
		p.Ambiguous = append(p.Ambiguous, s.Ambiguous)
	}
	p.Builds = convert(builds, fromServiceBuild)
	return p
}

// ToEvent converts the columns back. It returns ErrFormat if their lengths differ or an index is out of
// range.
func (p *BegunStreams) ToEvent() ([]event.BegunStream, error) {
	n := len(p.GetStreams())
	if len(p.GetIndexes()) != n || len(p.GetTtlsMs()) != n || len(p.GetAmbiguous()) != n {
		return nil, ErrFormat
	}
	var streams []event.BegunStream
	for i, stream := range p.GetStreams() {
		index := p.GetIndexes()[i]
		if int64(index) >= int64(len(p.GetBuilds())) {
			return nil, ErrFormat
		}
		streams = append(streams, event.BegunStream{
			Stream: ident.Stream(stream), ServiceBuild: toServiceBuild(p.GetBuilds()[index]),
			TTL: duration(p.GetTtlsMs()[i]), Ambiguous: p.GetAmbiguous()[i],
		})
	}
	return streams, nil
}

// FromBegunAnswer converts an answer.
func FromBegunAnswer(e event.AnswerBegun) *BegunAnswer {
	p := &BegunAnswer{Stream: uint64(e.Stream), Begun: FromBegun(e.Begun, false), Confirmed: e.Confirmed, Records: convert(e.Records, fromRecord)}
	for _, sb := range e.Seen {
		p.Seen = append(p.Seen, fromServiceBuild(sb.ServiceBuild))
		p.SeenAgesMs = append(p.SeenAgesMs, millis(sb.Age))
	}
	return p
}

// ToEvent converts an answer of a host back. It returns ErrFormat if the lengths of its columns differ.
func (p *BegunAnswer) ToEvent(from ident.EntryID) (event.BegunAnswered, error) {
	e := event.BegunAnswered{
		From: from, Stream: ident.Stream(p.GetStream()), Confirmed: p.GetConfirmed(), Records: convert(p.GetRecords(), toRecord),
	}
	var err error
	if e.Begun, err = p.GetBegun().ToEvent(); err != nil || len(p.GetSeen()) != len(p.GetSeenAgesMs()) {
		return e, ErrFormat
	}
	for i, sb := range p.GetSeen() {
		e.Seen = append(e.Seen, event.SeenBuild{ServiceBuild: toServiceBuild(sb), Age: duration(p.GetSeenAgesMs()[i])})
	}
	return e, nil
}
