package soak

import (
	"syscall"
	"time"
)

const (
	killDelay      = maxDeadline + 700*time.Millisecond // after SIGTERM
	noticeDelay    = 300 * time.Millisecond             // until the front learns of a planned stop
	restartDelay   = 300 * time.Millisecond             // after a kill
	upgradeTimeout = 14 * time.Second                   // until the replaced process has ended
	pauseTime      = 140 * time.Millisecond
	runTime        = 200 * time.Millisecond // between two pauses
)

// begin starts a new process as the node's, and has the front send clients once it answers.
func (n *node) begin() error {
	started, err := n.start()
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

// beginAgain starts a new process, unless the run is over.
func (n *node) beginAgain() {
	if n.harness.over() {
		return
	}
	if err := n.begin(); err != nil {
		n.harness.checker.violated(Start, "%s: %v", n.name, err)
	}
}

// stop stops the node's process as planned, and starts another one if so said.
func (n *node) stop(again bool) {
	defer n.release()
	n.mu.Lock()
	stopped := n.process
	stopped.expected = true
	reloadToo := (n.index+n.incarnation)%3 == 0 // two signals at once
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
		n.harness.checker.violated(Stop, "%s: ended before its time was up", n.name)
	case <-end:
	}
	stopped.kill()
	<-stopped.gone
	n.harness.checker.count("planned stops")
	if again {
		n.beginAgain()
	}
}

// kill kills the node's process, and starts another one a little later.
func (n *node) kill() {
	defer n.release()
	n.mu.Lock()
	killed := n.process
	killed.expected = true
	n.admitted = false
	n.killedAt = append(n.killedAt, time.Now())
	n.mu.Unlock()
	killed.kill()
	<-killed.gone
	n.harness.checker.count("kills")
	time.Sleep(restartDelay)
	n.beginAgain()
}

// pause stops the process for short times, again and again.
func (n *node) pause(until time.Time) {
	defer n.release()
	paused := n.currentProcess()
	for time.Now().Before(until) {
		paused.signal(syscall.SIGSTOP)
		time.Sleep(pauseTime)
		paused.signal(syscall.SIGCONT)
		time.Sleep(runTime)
	}
	n.harness.checker.count("holds")
}

// reload has the node follow discovery at its other address.
func (n *node) reload() {
	n.mu.Lock()
	n.discoveryAddr = (n.discoveryAddr + 1) % discoveryAddresses
	reloaded := n.process
	n.reloadedAt = time.Now()
	err := n.writeConfiguration()
	n.mu.Unlock()
	if err != nil {
		return // the file stays as it was, and so does the node
	}
	if reloaded.cmd.Process.Signal(syscall.SIGHUP) == nil {
		n.harness.checker.count("reloads")
	}
}

// upgrade starts a second process beside the running one, and stops that one when the second is ready.
func (n *node) upgrade() {
	defer n.release()
	next, err := n.start()
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
	replaced.expected = true
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
		n.harness.checker.violated(Stop, "%s: the process that was replaced is still there", n.name)
		replaced.kill()
		<-replaced.gone
	}
	n.harness.checker.count("upgrades")
}

// abandon kills a process that should have replaced the node's. What it had taken over may be lost.
func (n *node) abandon(next *process) {
	n.mu.Lock()
	next.expected = true
	n.killedAt = append(n.killedAt, time.Now())
	n.mu.Unlock()
	next.kill()
	<-next.gone
}
