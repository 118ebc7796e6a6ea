package core

import (
	"slices"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/member"
	"verbenadale.example/verbenadale/internal/rank"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/value"
)

const (
	// lateSends is added to the time for which a build stays on record: hosts learn late that targets have
	// gone, and targets serve for a while after that.
	lateSends = 15 * time.Second
	// recordedTTL is how long the builds on record that serve are remembered.
	recordedTTL = 100 * time.Millisecond
	// recordsInterval is the shortest time between two reads of the records because one lacks a build.
	recordsInterval = 2 * time.Second
)

// hostsRead merges a read of the platform's list. Targets of builds that are not recorded are left out at first.
func (rd *Reducer) hostsRead(now ident.Time, e event.HostsRead) {
	rd.noteRecorded(now, rd.builds.Read(now, e.Targets, e.Builds))
	rd.list, rd.listAt = e, now
	rd.admitTargets(now)
	rd.recordBuilds(now)
}

// admitTargets merges the last read of the list with the targets that may get requests by now.
func (rd *Reducer) admitTargets(now ident.Time) {
	e := rd.list
	e.Targets, rd.admitAt = rd.builds.Admit(now, rd.list.Targets)
	for i := range e.Targets {
		e.Targets[i].ColdFor = max(e.Targets[i].ColdFor-now.Sub(rd.listAt), 0)
	}
	rd.table.HostsRead(now, e)
	clear(rd.recorded)
	if rd.admitAt == 0 {
		rd.list = event.HostsRead{}
	}
}

// recordBuilds writes the records that are due. Hosts that don't read the list continuously leave that to others.
func (rd *Reducer) recordBuilds(now ident.Time) {
	if !rd.bounds.SharedReads || !rd.activeReader {
		return
	}
	for _, w := range rd.builds.Due(now, rd.buildRetention(now)) {
		rd.emit(w)
	}
}

// isRegionCutOff reports whether hosts of another region can't be reached. Their targets may serve on although the platform's list
// does not have them any more.
func (rd *Reducer) isRegionCutOff(now ident.Time) bool {
	return slices.ContainsFunc(rd.table.Centres(now), func(c *member.Centre) bool { return c.CutOff(now) })
}

// buildRetention returns how long a build stays on record after it was last listed. After a change of the configuration
// streams may still run for as long as before it.
func (rd *Reducer) buildRetention(now ident.Time) time.Duration {
	if rd.retention > 0 && rd.retentionOf == rd.spread.Revision() && now < rd.retentionUntil {
		return rd.retention
	}
	longest := time.Duration(0)
	for _, p := range rd.spread.Book().Profiles() {
		if p.Route != nil && p.Route.Resumable {
			longest = max(longest, routeTTL(p.Route))
		}
	}
	longest += lateSends
	if rd.retentionOf != rd.spread.Revision() {
		rd.retentionOf, rd.retentionUntil = rd.spread.Revision(), now.Add(rd.retention)
		rd.retention = max(rd.retention, longest)
	} else if now >= rd.retentionUntil {
		rd.retention, rd.retentionUntil = longest, now.Add(longest)
	}
	return rd.retention
}

func (rd *Reducer) buildsRecorded(now ident.Time, e event.BuildsRecorded) {
	rd.noteRecorded(now, rd.builds.Written(now, e.Record))
	clear(rd.recorded)
	if rd.admitAt > 0 {
		rd.admitTargets(now)
	}
}

// noteRecorded notes builds that are new on record. Targets of them may have served until now.
func (rd *Reducer) noteRecorded(now ident.Time, recorded []event.ServiceBuild) {
	for _, sb := range recorded {
		if sb.Build != "" {
			rd.begun.BuildSeen(now, sb)
		}
	}
	rd.settleLookups(now)
}

// requiredBuild returns the only build that may serve a request, empty for any. While a build serves that is not on
// record, new streams that may be taken up begin at another one: after a restart of all hosts nothing would show that there
// have been two, and they could go on at the wrong one.
func (rd *Reducer) requiredBuild(now ident.Time, r *request) ident.Build {
	if r.build != "" || r.TakenUp || r.hasBegun() || !r.isRoutedStream() || !r.profile.Route.Resumable {
		return r.build
	}
	if now >= rd.recordedUntil {
		clear(rd.recorded)
		rd.recordedUntil = now.Add(recordedTTL)
	}
	recorded, ok := rd.recorded[r.profile.Service]
	if !ok {
		recorded = rd.findRecorded(now, r.profile.Service)
		rd.recorded[r.profile.Service] = recorded
	}
	if len(recorded) == 0 {
		return ""
	}
	return recorded[rank.Hash(string(r.ID))%uint64(len(recorded))]
}

// findRecorded returns the builds of a service that serve and are on record, sorted, if one serves that is not; else nil.
func (rd *Reducer) findRecorded(now ident.Time, service string) []ident.Build {
	missing := false
	recorded := value.SetOf[ident.Build]()
	for _, t := range rd.table.Targets() {
		switch {
		case t.Service != service || t.Removed || t.Build == "":
		case !rd.builds.Has(event.ServiceBuild{Service: service, Build: t.Build}):
			missing = true
		case !t.KnownDraining && !t.Evacuated && !t.Suspect(now):
			recorded.Add(t.Build)
		}
	}
	if !missing {
		return nil
	}
	rd.readRecords(now)
	if len(recorded) == 0 {
		rd.addRemoteRecorded(now, service, recorded)
	}
	return recorded.Sorted()
}

// addRemoteRecorded adds the builds on record that serve in other regions.
func (rd *Reducer) addRemoteRecorded(now ident.Time, service string, recorded value.Set[ident.Build]) {
	for _, c := range rd.table.Centres(now) {
		p := c.Pool(member.PoolID{Service: service})
		if p == nil || c.CutOff(now) {
			continue
		}
		for _, build := range p.Builds {
			if rd.builds.Has(event.ServiceBuild{Service: service, Build: build}) {
				recorded.Add(build)
			}
		}
	}
}

// readRecords reads the records again, at a host that does not do so continuously: it learns of targets from its peers,
// but not of records.
func (rd *Reducer) readRecords(now ident.Time) {
	if !rd.bounds.SharedReads || rd.activeReader || now < rd.nextRecords {
		return
	}
	rd.nextRecords = now.Add(recordsInterval)
	rd.table.ListReadAsked(now)
	rd.emit(event.ReadList{})
}
