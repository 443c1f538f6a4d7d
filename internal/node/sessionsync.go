package node

import (
	"spurwinch/internal/operations/hotrestart"
	resumable "spurwinch/internal/session"
	"spurwinch/internal/xmpp"
)

const (
	// maxGrantSessions is the maximum number of sessions without a stream in a grant. A successor has these before it
	// accepts its first client; it is sent all sessions after the grant.
	maxGrantSessions = 1000
	// maxUpdateBytes is the approximate maximum size of one message with changes. It fits the buffer of a Unix socket.
	maxUpdateBytes = 64 << 10
)

// sessionSync sends the changes of this process's table of resumable sessions to the other processes of the node. While
// the node has two processes, a client may reach either of them, and must be sent to the server that has its session.
// Only the loop may use it.
type sessionSync struct {
	restart       *hotRestart
	front         *xmpp.Front               // nil: the node has no resumable sessions
	links         map[resumable.Process]int // the numbers of the links to the processes that the table tracks
	parentAccepts bool                      // the predecessor has asked for changes
	scheduled     bool                      // send will be called
	sent          int                       // number of changes sent
}

// init connects the synchronization to the front, if the node has one with resumable sessions.
func (s *sessionSync) init(restart *hotRestart) {
	s.restart = restart
	s.front = restart.program.xmpp
	s.links = map[resumable.Process]int{}
	if s.front != nil {
		s.front.Sessions().OnChange = s.schedule
	}
}

// peers has each other process of the node, by its name in the table.
var peers = map[resumable.Process]hotrestart.Peer{
	resumable.Predecessor: hotrestart.Parent,
	resumable.Successor:   hotrestart.Successor,
}

// followLinks makes the table track the processes that accept changes, and no others.
func (s *sessionSync) followLinks() {
	if s.front == nil || s.restart.coordinator == nil {
		return
	}
	sessions := s.front.Sessions()
	for process, peer := range peers {
		number, _ := s.restart.coordinator.LearnedStateLink(peer)
		if !s.accepts(process) {
			number = 0
		}
		if number == s.links[process] {
			continue
		}
		s.links[process] = number
		sessions.Untrack(s.restart.program.loop.Now(), process)
		if number > 0 {
			sessions.Track(process)
		}
	}
	s.schedule()
}

// schedule makes send run after the current callback.
func (s *sessionSync) schedule() {
	if s.scheduled {
		return
	}
	s.scheduled = true
	loop := s.restart.program.loop
	loop.At(loop.Now(), func() {
		s.scheduled = false
		s.send()
	})
}

// send sends each process one message with changes, if it can be sent one now.
func (s *sessionSync) send() {
	if s.front == nil || s.restart.coordinator == nil {
		return
	}
	for process, peer := range peers {
		if _, writable := s.restart.coordinator.LearnedStateLink(peer); writable {
			s.sendTo(process, peer)
		}
	}
}

// accepts reports whether a process accepts changes. A successor of any release does.
func (s *sessionSync) accepts(process resumable.Process) bool {
	return process == resumable.Successor || s.parentAccepts
}

// sendTo sends a process one message with changes, if there are any.
func (s *sessionSync) sendTo(process resumable.Process, peer hotrestart.Peer) {
	sessions := s.front.Sessions()
	update := sessions.NextChanges(s.restart.program.loop.Now(), process, maxUpdateBytes)
	count := len(update.Sessions) + len(update.Ended)
	if count > 0 {
		s.sent += count
		state := learnedState{Sessions: update.Sessions, Connected: update.Connected, Ended: update.Ended}
		s.restart.coordinator.SendLearnedState(peer, state.encode())
	}
	if sessions.HasChanges(process) {
		s.schedule()
	}
}

// merge applies the changes of another process.
func (s *sessionSync) merge(from resumable.Process, state learnedState) {
	if s.front != nil {
		s.front.MergeSessions(from, resumable.Update{
			Sessions: state.Sessions, Connected: state.Connected, Ended: state.Ended,
		})
	}
}

// pending reports whether changes for the successor are not all in the kernel yet.
func (s *sessionSync) pending() bool {
	if s.front == nil || s.links[resumable.Successor] == 0 {
		return false
	}
	_, writable := s.restart.coordinator.LearnedStateLink(hotrestart.Successor)
	return !writable || s.front.Sessions().HasChanges(resumable.Successor)
}

// forGrant returns the sessions for a grant.
func (s *sessionSync) forGrant() []resumable.Session {
	if s.front == nil {
		return nil
	}
	return s.front.Sessions().Resumable(s.restart.program.loop.Now(), maxGrantSessions)
}

// dropped returns how many changes were dropped because another process did not receive them in time.
func (s *sessionSync) dropped() int {
	if s.front == nil {
		return 0
	}
	return s.front.Sessions().DroppedChanges()
}
