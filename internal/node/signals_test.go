package node

import (
	"os"
	"slices"
	"syscall"
	"testing"

	"spurwinch/internal/loop"
)

// TestSignalsAtOnce has SIGHUP and two SIGTERM lie ready together: the files are read first, since the stop goes by them, and
// there is one stop.
func TestSignalsAtOnce(t *testing.T) {
	for range 50 {
		l, err := loop.New()
		if err != nil {
			t.Fatal(err)
		}
		p := newProgram(l)
		p.shutdownTime = 0
		var order []string
		p.reloaders = append(p.reloaders, func() (func(), error) { return func() { order = append(order, "reload") }, nil })
		p.onShutdown = append(p.onShutdown, func() { order = append(order, "leave") })
		reload, stop := make(chan os.Signal, 1), make(chan os.Signal, 2)
		reload <- syscall.SIGHUP
		stop <- syscall.SIGTERM
		stop <- syscall.SIGTERM
		if err := p.Run(reload, stop); err != nil {
			t.Fatal(err)
		}
		l.Close()
		if !slices.Equal(order, []string{"reload", "leave"}) {
			t.Fatal(order)
		}
	}
}
