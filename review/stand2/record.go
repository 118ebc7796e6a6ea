package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that a case writes. It is safe for concurrent use.
type record struct {
	mu    sync.Mutex
	f     *os.File
	began time.Time
}

func newRecord(file string) (*record, error) {
	f, err := os.Create(file)
	if err != nil {
		return nil, err
	}
	return &record{f: f, began: time.Now()}, nil
}

func (c *record) printf(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.f, "%8.3f s  %s\n", time.Since(c.began).Seconds(), fmt.Sprintf(format, args...))
}

func (c *record) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.f.Close()
}
