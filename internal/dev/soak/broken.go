package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"verbenadale.example/verbenadale/internal/dev/worker"
)

const (
	// meanBrokenInterval is the mean time between two targets that answer a few requests in a broken way, at most maxBroken.
	meanBrokenInterval = 300 * time.Millisecond
	maxBroken          = 4
	// uploadBytes is the length of an upload, which does not fit into the buffers of a connection. One in uploadDivisor streams has one.
	uploadBytes   = 4 << 20
	uploadDivisor = 2
)

// upload is the body of an upload.
var upload = strings.Repeat("u", uploadBytes)

// brokenAnswerKinds are the ways in which answers are broken.
var brokenAnswerKinds = []worker.Fault{worker.ResetUpload, worker.ResetUpload, worker.InvalidStatus, worker.BlankName}

// drawBroken draws targets whose answers are malformed, or are reset while the request is still being written.
func drawBroken(rnd *rand.Rand, span time.Duration, s *deployment) []fault {
	var plan []fault
	ws := s.targets()
	for at := time.Duration(0); at < span; at += time.Duration(rnd.Int64N(int64(2 * meanBrokenInterval))) {
		w, k, n := ws[rnd.IntN(len(ws))], brokenAnswerKinds[rnd.IntN(len(brokenAnswerKinds))], 1+rnd.IntN(maxBroken)
		plan = append(plan, fault{
			at: at, target: true, name: fmt.Sprintf("target %s: next %d %s", w.id, n, k), begin: func(context.Context) { s.breakAnswers(w, k, n) },
		})
	}
	return plan
}

// breakAnswers injects a fault of answers into the target that now has the place of w.
func (s *deployment) breakAnswers(w *target, k worker.Fault, n int) {
	w = s.current(w)
	if k == worker.ResetUpload && w.addr == w.relay.Addr() {
		// A relay would end the connection in order, as after a whole answer.
		k = worker.InvalidStatus
	}
	w.InjectFault(k, n)
}

// drawText draws the body of a request, empty for a short one.
func (k *caller) drawText(kind string) string {
	if !k.pool.deployment.cfg.Broken || kind != kindDraft || k.rnd.IntN(uploadDivisor) > 0 {
		return ""
	}
	return upload
}

// maxBodyBytes returns the length of the longest body that the configuration allows.
func (cfg Config) maxBodyBytes() int {
	if cfg.Broken {
		return 2 * uploadBytes
	}
	return 1 << 20
}
