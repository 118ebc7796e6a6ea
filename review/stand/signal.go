package main

import (
	"os"
	"os/signal"
	"syscall"
)

func (b *board) watchSignals() {
	sigs := make(chan os.Signal, 4)
	signal.Notify(sigs, syscall.SIGUSR1, syscall.SIGUSR2)
	for sig := range sigs {
		b.setFaulty(sig == syscall.SIGUSR1)
	}
}
