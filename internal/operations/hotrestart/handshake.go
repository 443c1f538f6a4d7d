package hotrestart

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"spurwinch/internal/loop"
)

const (
	// maxPathBytes limits a path so that it fits the 107 bytes of a Unix socket address together with the suffix that
	// it has while the socket is being created: a dot and the process ID.
	maxPathBytes        = 90
	maxGrantDescriptors = 16
	connectRetryPause   = 5 * time.Millisecond
)

// Path returns the path of the Unix socket on which the processes of a node connect to each other. The listen address
// identifies the node. The path is empty if there is no directory, if the system chooses the port, or if the path would
// be too long.
func Path(dir, listen string) string {
	if dir == "" || strings.HasSuffix(listen, ":0") {
		return ""
	}
	name := strings.NewReplacer(":", "-", "[", "", "]", "").Replace(listen)
	path := filepath.Join(dir, "spurwinch-"+name+".sock")
	if len(path) > maxPathBytes {
		return ""
	}
	return path
}

// RequestGrant requests a grant from the running process. It blocks until the deadline at most, so it must be called
// before the event loop runs. After an error the process starts as the only one of its node.
func RequestGrant(path string, deadline time.Time) (*Grant, error) {
	fd, err := unix.Socket(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, os.NewSyscallError("socket", err)
	}
	client := handshake{fd: fd, deadline: deadline}
	grant, err := client.run(path)
	if err != nil {
		_ = unix.Close(fd) // the descriptor is closed even if Close reports an error
	}
	return grant, err
}

// handshake is the successor's side of the link until it has received the grant. It uses blocking calls.
type handshake struct {
	fd       int
	deadline time.Time
}

// run connects to the parent, sends the hello and receives the grant.
func (h handshake) run(path string) (*Grant, error) {
	if err := h.setTimeout(unix.SO_SNDTIMEO); err != nil {
		return nil, err
	}
	if err := h.connect(path); err != nil {
		return nil, os.NewSyscallError("connect", err)
	}
	hello := message{Kind: kindHello, Version: protocolVersion, TransferVersion: transferVersion}
	if err := h.send(hello.encode()); err != nil {
		return nil, os.NewSyscallError("send", err)
	}
	received, descriptors, err := h.receiveLine()
	if err != nil {
		loop.CloseDescriptors(descriptors)
		return nil, err
	}
	line, unread, _ := bytes.Cut(received, []byte("\n"))
	grant, err := parseGrant(line, descriptors)
	if err != nil {
		loop.CloseDescriptors(descriptors)
		return nil, err
	}
	grant.fd = h.fd
	grant.unread = unread
	return grant, nil
}

// setTimeout makes the following sends (SO_SNDTIMEO) or receives (SO_RCVTIMEO) end by the deadline.
func (h handshake) setTimeout(option int) error {
	remaining := time.Until(h.deadline)
	if remaining <= 0 {
		return ErrAnswerTimeout
	}
	timeout := unix.NsecToTimeval(max(remaining, time.Millisecond).Nanoseconds()) // 0 would mean no timeout
	return unix.SetsockoptTimeval(h.fd, unix.SOL_SOCKET, option, &timeout)
}

// connect retries when a signal interrupts it or when the accept queue of the running process is temporarily full.
func (h handshake) connect(path string) error {
	for {
		err := unix.Connect(h.fd, &unix.SockaddrUnix{Name: path})
		temporary := errors.Is(err, unix.EINTR) || errors.Is(err, unix.EAGAIN)
		if !temporary || time.Now().After(h.deadline) {
			return err
		}
		time.Sleep(connectRetryPause)
	}
}

// send sends all of data, in several calls if the kernel accepts only a part of it.
func (h handshake) send(data []byte) error {
	for len(data) > 0 {
		sent, err := unix.SendmsgN(h.fd, data, nil, nil, unix.MSG_NOSIGNAL)
		if err != nil && !errors.Is(err, unix.EINTR) {
			return err
		}
		data = data[max(sent, 0):]
	}
	return nil
}

// receiveLine receives until there is a complete line. It returns all received bytes, and the descriptors received with
// them. With an error it still returns the descriptors, so that the caller can close them.
func (h handshake) receiveLine() (received []byte, descriptors []int, err error) {
	buffer := make([]byte, 16<<10)
	control := make([]byte, unix.CmsgSpace(4*maxGrantDescriptors))
	for bytes.IndexByte(received, '\n') < 0 {
		if err := h.setTimeout(unix.SO_RCVTIMEO); err != nil {
			return nil, descriptors, err
		}
		size, controlSize, _, _, err := unix.Recvmsg(h.fd, buffer, control, unix.MSG_CMSG_CLOEXEC)
		switch {
		case errors.Is(err, unix.EINTR):
			continue
		case errors.Is(err, unix.EAGAIN):
			return nil, descriptors, ErrAnswerTimeout
		case err != nil:
			return nil, descriptors, os.NewSyscallError("recvmsg", err)
		}
		descriptors = append(descriptors, loop.ReceivedDescriptors(control[:controlSize])...)
		received = append(received, buffer[:size]...)
		if size == 0 || len(received) > maxGrantBytes {
			return nil, descriptors, fmt.Errorf("%w: no newline before the end or the size limit", ErrInvalidGrant)
		}
	}
	return received, descriptors, nil
}
