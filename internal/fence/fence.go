// Package fence decides when a host reads the store to settle questions that only a read asked for after the
// question can settle.
//
// A host that is cut off, or whose process stood still, cannot notice it: what it knows may be old,
// however recent it looks. A read that was asked for after a question, and answered, shows everything that had
// happened when the question came.
//
// # Usage
//
//	var f fence.Fence
//	// With each question:
//	q.read = f.Wait()
//	// After each event:
//	if n, ok := f.Due(now, hosts); ok {
//		emit(event.ReadBuilds{Read: n})
//	}
//	// When the read has ended:
//	f.Ended(now, n, succeeded)
//	if f.Passed(q.read) {
//		// the answer to q is in what was read
//	}
//
// # Bounds
//
// One read serves all questions that came before it. At most one is under way, and the reads of all hosts together stay
// below a rate that the store bears.
package fence

import (
	"time"

	"verbenadale.example/verbenadale/pkg/ident"
)

const (
	// The reads of a host are intervalPerHost apart for each host of the deployment, within minInterval and maxInterval.
	intervalPerHost = time.Millisecond
	minInterval     = 50 * time.Millisecond
	maxInterval     = 400 * time.Millisecond
	// retryDelay is the time from a read that has failed to the next one.
	retryDelay = 150 * time.Millisecond
)

// Read is the number of a read, counted from one. Zero is none.
type Read uint64

// Fence numbers the reads of one host. The zero Fence has asked for none. It belongs to the reducer.
type Fence struct {
	// asked is the last read that was asked for, passed and failed the last ones that succeeded and failed.
	asked, passed, failed Read
	// wanted is set while a question waits for a read that has not been asked for.
	wanted bool
	nextAt ident.Time
}

// Wait returns the first read that is asked for after this call.
func (f *Fence) Wait() Read {
	f.wanted = true
	return f.asked + 1
}

// Due returns the read to ask for now, if there is one. The next one waits until Ended.
func (f *Fence) Due(now ident.Time, hosts int) (Read, bool) {
	if !f.wanted || f.isPending() || now < f.nextAt {
		return 0, false
	}
	f.wanted = false
	f.asked++
	f.nextAt = now.Add(min(max(time.Duration(hosts)*intervalPerHost, minInterval), maxInterval))
	return f.asked, true
}

// Ended records that a read has ended.
func (f *Fence) Ended(now ident.Time, n Read, succeeded bool) {
	switch {
	case n > f.asked:
	case succeeded:
		f.passed = max(f.passed, n)
	default:
		f.failed = max(f.failed, n)
		f.nextAt = max(f.nextAt, now.Add(retryDelay))
	}
}

// Passed reports whether a read, or a later one, has succeeded.
func (f *Fence) Passed(n Read) bool { return n > 0 && f.passed >= n }

// Failed reports whether a read, or a later one, has failed and none has succeeded.
func (f *Fence) Failed(n Read) bool { return f.failed >= n && !f.Passed(n) }

// Next returns when a read is due, zero for never.
func (f *Fence) Next() ident.Time {
	if !f.wanted || f.isPending() {
		return 0
	}
	return max(f.nextAt, 1)
}

func (f *Fence) isPending() bool { return max(f.passed, f.failed) < f.asked }
