// Package logs creates the loggers of the programs: one line of key=value pairs
// for each event, at a level that an operator can change while the program
// runs.
//
// # Usage
//
//	lvl := logs.NewLevel(0)
//	log := logs.New(os.Stderr, lvl)
//	log.Info("peer is up", "entry", id)
//	lvl.Set(1)
//
// Level 0 is for events of the system, level 1 adds a line for each request. No
// line contains the text of a prompt or an answer.
package logs

import (
	"io"
	"log/slog"

	"github.com/go-logr/logr"
)

// Level is the log verbosity. It can be changed at any time.
type Level struct{ v slog.LevelVar }

// NewLevel returns a level of the given verbosity.
func NewLevel(verbosity int) *Level {
	l := &Level{}
	l.Set(verbosity)
	return l
}

// Set changes the verbosity.
func (l *Level) Set(verbosity int) { l.v.Set(slog.Level(-verbosity)) }

// Get returns the verbosity.
func (l *Level) Get() int { return -int(l.v.Level()) }

// New returns a logger that writes lines to w.
func New(w io.Writer, l *Level) logr.Logger {
	return logr.FromSlogHandler(slog.NewTextHandler(w, &slog.HandlerOptions{Level: &l.v, ReplaceAttr: replaceAttr}))
}

// replaceAttr writes the level of a line as operators set it, where the handler
// would write DEBUG+3 for level 1, and an error without its stack trace.
func replaceAttr(groups []string, a slog.Attr) slog.Attr {
	if err, ok := a.Value.Any().(error); ok {
		return slog.String(a.Key, err.Error())
	}
	lvl, ok := a.Value.Any().(slog.Level)
	if len(groups) > 0 || a.Key != slog.LevelKey || !ok {
		return a
	}
	if lvl >= slog.LevelError {
		return slog.String(a.Key, "error")
	}
	return slog.Int(a.Key, -int(lvl))
}
