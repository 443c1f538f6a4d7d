package soak

import (
	"syscall"
	"time"
)

const (
	killDelay      = maxDeadline + 700*time.Millisecond // from SIGTERM to SIGKILL
	noticeDelay    = 300 * time.Millisecond             // until the front end learns of a planned stop
	restartDelay   = 300 * time.Millisecond             // from a kill until the next process starts
	upgradeTimeout = 14 * time.Second                   // until the replaced process has ended
	pauseLength    = 140 * time.Millisecond
	runInterval    = 200 * time.Millisecond // between two pauses
)

// startCurrentProcess starts a new process and makes it the node's current one. The front end sends clients to it once
// it answers PING.
func (n *node) startCurrentProcess() error {
	started, err := n.startProcess()
	if err != nil {
		return err
	}
	n.mu.Lock()
	n.process = started
	n.startedAt = time.Now()
	n.incarnation++
	n.draining = map[*server]time.Time{}
	n.starts = map[*server][]time.Time{}
	n.mu.Unlock()
	go n.awaitPong(started)
	return nil
}

// restartProcess starts a new current process, unless the run is over.
func (n *node) restartProcess() {
	if n.harness.over() {
		return
	}
	if err := n.startCurrentProcess(); err != nil {
		n.harness.checker.violated(Start, "%s: %v", n.name, err)
	}
}

// stop performs a planned stop of the node's process, and starts a new one if restart is set.
func (n *node) stop(restart bool) {
	defer n.release()
	n.mu.Lock()
	stopped := n.process
	stopped.endExpected = true
	reloadToo := (n.index+n.incarnation)%3 == 0 // two signals at once: SIGHUP and SIGTERM
	n.mu.Unlock()
	if reloadToo {
		n.reload()
	}
	stopped.signal(syscall.SIGTERM)
	end := time.After(killDelay)
	time.Sleep(noticeDelay)
	n.mu.Lock()
	n.admitted = false
	n.mu.Unlock()
	select {
	case <-stopped.gone:
		n.harness.checker.violated(Stop, "%s: the process ended before the time for a planned stop was over", n.name)
	case <-end:
	}
	stopped.kill()
	<-stopped.gone
	n.harness.checker.count("planned stops")
	if restart {
		n.restartProcess()
	}
}

// kill kills the node's process, and starts a new one after restartDelay.
func (n *node) kill() {
	defer n.release()
	n.mu.Lock()
	killed := n.process
	killed.endExpected = true
	n.admitted = false
	n.killedAt = append(n.killedAt, time.Now())
	n.mu.Unlock()
	killed.kill()
	<-killed.gone
	n.harness.checker.count("kills")
	time.Sleep(restartDelay)
	n.restartProcess()
}

// pause repeatedly suspends the node's process for a short time, until the given time.
func (n *node) pause(until time.Time) {
	defer n.release()
	paused := n.currentProcess()
	for time.Now().Before(until) {
		paused.signal(syscall.SIGSTOP)
		time.Sleep(pauseLength)
		paused.signal(syscall.SIGCONT)
		time.Sleep(runInterval)
	}
	n.harness.checker.count("holds")
}

// reload changes the node's configuration to its other discovery address, and makes the process reload it.
func (n *node) reload() {
	n.mu.Lock()
	n.discoveryAddr = (n.discoveryAddr + 1) % discoveryAddresses
	reloaded := n.process
	n.reloadedAt = time.Now()
	err := n.writeConfiguration()
	n.mu.Unlock()
	if err != nil {
		return // the file is unchanged, so the node keeps its configuration
	}
	if reloaded.cmd.Process.Signal(syscall.SIGHUP) == nil {
		n.harness.checker.count("reloads")
	}
}

// upgrade starts a second process beside the running one, and stops the first when the second is ready.
func (n *node) upgrade() {
	defer n.release()
	next, err := n.startProcess()
	if err != nil {
		n.harness.checker.violated(Start, "%s: %v", n.name, err)
		return
	}
	if !n.awaitReady(next) {
		n.harness.checker.violated(Start, "%s: the process started beside the running one is not ready", n.name)
		n.abandon(next)
		return
	}
	n.mu.Lock()
	replaced := n.process
	replaced.endExpected = true
	n.process = next
	n.mu.Unlock()
	replaced.signal(syscall.SIGTERM)
	select {
	case <-replaced.gone:
		if !replaced.cmd.ProcessState.Success() {
			n.harness.checker.violated(Stop, "%s: the process that was replaced ended with %v",
				n.name, replaced.cmd.ProcessState)
		}
	case <-time.After(upgradeTimeout):
		n.harness.checker.violated(Stop, "%s: the process that was replaced is still running", n.name)
		replaced.kill()
		<-replaced.gone
	}
	n.harness.checker.count("upgrades")
}

// abandon kills a process that failed to replace the node's current one. Connections that it had taken over may be
// lost, so abandon records the kill, which excuses the node.
func (n *node) abandon(next *process) {
	n.mu.Lock()
	next.endExpected = true
	n.killedAt = append(n.killedAt, time.Now())
	n.mu.Unlock()
	next.kill()
	<-next.gone
}
