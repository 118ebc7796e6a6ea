package main

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// holdInterval is how often a held connection looks whether it may go on.
const holdInterval = 20 * time.Millisecond

// network carries the connections between hosts, and from hosts to the store. A host that is cut off
// neither sends nor receives anything on them, and no connection is closed or refused.
type network struct {
	mu      sync.Mutex
	cutOff  map[string]bool
	proxies []net.Listener
	closed  atomic.Bool
}

func newNetwork() *network { return &network{cutOff: make(map[string]bool)} }

// cut cuts the host with the given IP off from all other hosts and the store.
func (n *network) cut(ip string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cutOff[ip] = true
}

func (n *network) isCut(ips [2]string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cutOff[ips[0]] || n.cutOff[ips[1]]
}

// forward listens on an IP and forwards connections to an address. owner is the IP of the host at the
// far end, or of the only host that uses the listener.
func (n *network) forward(listenIP, to, owner string) (string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(listenIP, "0"))
	if err != nil {
		return "", err
	}
	n.proxies = append(n.proxies, l)
	go n.accept(l, to, owner)
	return l.Addr().String(), nil
}

func (n *network) accept(l net.Listener, to, owner string) {
	for {
		in, err := l.Accept()
		if err != nil {
			return
		}
		go n.carry(in, to, owner)
	}
}

func (n *network) carry(in net.Conn, to, owner string) {
	defer in.Close()
	from, _, _ := net.SplitHostPort(in.RemoteAddr().String())
	ends := [2]string{from, owner}
	n.hold(ends)
	out, err := net.Dial("tcp", to)
	if err != nil {
		return
	}
	defer out.Close()
	done := make(chan struct{}, 2)
	for _, pair := range [][2]net.Conn{{in, out}, {out, in}} {
		go func() {
			n.copyAll(pair[1], pair[0], ends)
			done <- struct{}{}
		}()
	}
	<-done
}

// copyAll copies until the connection ends. What has been read is held while one of its ends is cut off.
func (n *network) copyAll(dst, src net.Conn, ends [2]string) {
	buf := make([]byte, 32<<10)
	for {
		k, err := src.Read(buf)
		n.hold(ends)
		if err != nil {
			return
		}
		if _, err := dst.Write(buf[:k]); err != nil {
			return
		}
	}
}

// hold waits while one of the ends is cut off.
func (n *network) hold(ends [2]string) {
	for n.isCut(ends) && !n.closed.Load() {
		time.Sleep(holdInterval)
	}
}

func (n *network) close() {
	n.closed.Store(true)
	for _, l := range n.proxies {
		_ = l.Close()
	}
}
