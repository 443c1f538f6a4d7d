package node

import (
	"os"
	"slices"
	"syscall"
	"testing"
)

// TestReloadPrecedesShutdownOnPendingSignals runs a node while a SIGHUP and two SIGTERMs are pending. The node must
// reload the files first, because the shutdown depends on them, and must shut down only once.
func TestReloadPrecedesShutdownOnPendingSignals(t *testing.T) {
	for range 50 {
		eventLoop := newLoop(t)
		program := newProgram(eventLoop)
		program.shutdownTime = 0
		var order []string
		program.reloaders = append(program.reloaders, func() (func(), error) {
			return func() { order = append(order, "reload") }, nil
		})
		program.onShutdown = append(program.onShutdown, func() { order = append(order, "shutdown") })
		reload := make(chan os.Signal, 1)
		stop := make(chan os.Signal, 2)
		reload <- syscall.SIGHUP
		stop <- syscall.SIGTERM
		stop <- syscall.SIGTERM
		if err := program.Run(reload, stop); err != nil {
			t.Fatal(err)
		}
		eventLoop.Close()
		if !slices.Equal(order, []string{"reload", "shutdown"}) {
			t.Fatal(order)
		}
	}
}
