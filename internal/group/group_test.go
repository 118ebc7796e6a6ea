package group

import (
	"errors"
	"sync"
	"testing"
	"time"
)

func returnAtOnce() error { return nil }

// Guards against a panic when a goroutine is started after the first has returned.
func TestStartsAfterTheFirstHasReturned(t *testing.T) {
	var g Group
	for range 100 {
		if !g.Go(returnAtOnce) {
			t.Fatal("goroutine not started")
		}
		time.Sleep(10 * time.Microsecond)
	}
	if err := g.Join(); err != nil {
		t.Error(err)
	}
	if g.Go(returnAtOnce) {
		t.Error("goroutine started after the group has ended")
	}
}

// Guards against a panic when goroutines are started while the owner stops or one of
// its goroutines fails.
func TestConcurrentGoWhileEnding(t *testing.T) {
	failed := errors.New("failed")
	for _, end := range map[string]func(g *Group){
		"killed": func(g *Group) { g.Kill(nil) },
		"failed": func(g *Group) { g.Go(func() error { return failed }) },
		"joined": func(g *Group) { _ = g.Join() },
	} {
		for range 300 {
			var g Group
			g.Go(returnAtOnce)
			var all sync.WaitGroup
			for range 4 {
				all.Go(func() {
					for range 5 {
						g.Go(returnAtOnce)
					}
				})
			}
			end(&g)
			all.Wait()
			g.Kill(nil)
			if err := g.Wait(); err != nil && !errors.Is(err, failed) {
				t.Fatal(err)
			}
			if g.Go(returnAtOnce) {
				t.Fatal("goroutine started after the group has ended")
			}
		}
	}
}

func TestNothingStarted(t *testing.T) {
	var g Group
	g.Kill(nil)
	if err := g.Wait(); err != nil {
		t.Error(err)
	}
	if g.Go(returnAtOnce) {
		t.Error("goroutine started after the group has ended")
	}
}
