package main

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Workers of a plain service.
const (
	workerSlots = 64
	workTime    = 5 * time.Millisecond
)

// worker is a sound worker of a plain service.
type worker struct {
	id, addr string
	running  atomic.Int64
	onRun    func(request, tenant string, at time.Time)
	srv      *http.Server
}

// startWorker starts a worker on a loopback address.
func startWorker(id string, onRun func(request, tenant string, at time.Time)) (*worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &worker{id: id, addr: l.Addr().String(), onRun: onRun}
	k.srv = &http.Server{Handler: k, ReadHeaderTimeout: time.Minute}
	go func() { _ = k.srv.Serve(l) }()
	return k, nil
}

// ServeHTTP implements http.Handler.
func (k *worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	at := time.Now()
	h := w.Header()
	h.Set("Verbenadale-Server-Load", fmt.Sprintf("%d,0,%d", k.running.Load(), workerSlots))
	if r.URL.Path == "/healthz" {
		h.Set("Verbenadale-Instance-Id", k.id)
		return
	}
	request := r.Header.Get("Verbenadale-Request-Id")
	h.Set("Verbenadale-Request-Id", request)
	want := r.Header.Get("Verbenadale-Expect-Instance")
	if request == "" || want != "" && want != k.id {
		h.Set("Verbenadale-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	k.running.Add(1)
	defer k.running.Add(-1)
	k.onRun(request, r.Header.Get("Verbenadale-Tenant"), at)
	time.Sleep(workTime)
	h.Set("Verbenadale-Response-Seal", "seal-"+k.id)
	fmt.Fprintf(w, "%s by %s", request, k.id)
}
