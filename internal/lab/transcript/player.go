// Package transcript plays recorded byte exchanges against a program on loopback sockets and compares the received
// bytes. Only tests use it.
//
// A transcript is a text file with one step per line:
//
//	# a comment
//	c open              connect to the program as c; c open NAME connects to the value NAME
//	s accept h1         take the program's next connection at the listener h1 as s
//	s accept *          take the next connection at any listener whose name starts with h
//	c > TEXT            send TEXT and CRLF; >> sends TEXT without CRLF
//	c < TEXT            expect TEXT and CRLF as the next bytes; << expects TEXT without CRLF
//	c < END             expect the end of the connection; RESET: a reset; SILENCE: no data for silencePeriod
//	c end               close c; reset resets it; half closes its sending side only
//	do NAME             call the callback NAME of the test
//
// In a text, {NAME} is replaced by a value of the test, and \n, \r and \" are escapes as in Go. In an expected text,
// {*} matches any text without quotes.
package transcript

import (
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"
)

const (
	waitTimeout    = 20 * time.Second       // for expected data; long enough that no result depends on speed
	silencePeriod  = 300 * time.Millisecond // during which no data may arrive
	maxUnaccepted  = 64                     // connections of the program that no step has accepted yet
	lineEnd        = "\r\n"
	callbackKey    = "do" // given in place of a connection's name
	anyServer      = "*"  // given in place of a listener's name
	serverListener = 'h'  // first letter of the names of the servers' listeners
)

// Operations of a step.
const (
	opOpen      = "open"
	opAccept    = "accept"
	opSendLine  = ">"
	opSend      = ">>"
	opWantLine  = "<"
	opWant      = "<<"
	opClose     = "end"
	opCloseSend = "half"
	opReset     = "reset"
)

// Errors of a step.
var (
	ErrNoConnection  = errors.New("no such connection")
	ErrNoCallback    = errors.New("no such callback")
	ErrUnknownStep   = errors.New("unknown step")
	ErrNotAccepted   = errors.New("the program did not connect in time")
	errNotTCP        = errors.New("not a TCP connection")
	errTooMuchOutput = errors.New("more data than expected")
)

// Settings are the settings of a small node. Tests replace REPORTS with the source of load reports.
const Settings = `{"groupSize":1,"index":0,"az":"a","membershipMode":"on_request","roundS":0.005,"overShareWorth":0.05,
 "customers":[{"name":"acme","quotaRps":10,"fraction":1}],"weightSource":"off","worthBy":"request",
 "clients":{"marksRetry":false},"dcs":["a"],"kinds":["m1"],"serviceType":"conn","stage":0,"tiers":["edge"],
 "domain":{"groups":false,"mode":"proxy","messageAimS":[0.06],"parkS":0,"tellsDelay":false,"tenantQuotaConnections":[],
  "hint":"","notes":"","reportX0":"","reportX1":"","tellsLoad":false},
 "goal":{"whole":0.35,"worstClass":0.2,"worstTenant":0.1,"worstWindow":0.35},
 "invariants":{"answerSlackS":0.02,"askWithinS":10,"coldShare":0.14,"fallMultiple":4,"fallS":2,"rampTimeS":24,
  "stopSendingWithinS":3},
 "loadReport":{"via":"REPORTS","fields":["recent_ms","utilization","x0"]},
 "policyLimits":{"connectTimeoutS":1,"mayCancel":true,"mayProbe":true,"mayTell":false,"retryAfter":true,
  "maxRetryAfterS":2,"secondCopies":false,"sendCap":4,"cpuUsPerRequest":0,"cpuUsPerS":400000,"keepaliveS":60,
  "maxOpen":1000000,"streamsPerConn":1048576},
 "profiles":[{"name":"chat","aimS":0.8,"giveUpS":4,"idempotency":"safe","dedupScope":"all","dedupWindowS":5,"value":1,
  "lateShare":0,"stream":true}],
 "tariffs":{"probe":0.002,"crossZone":0,"lateFail":0,"moves":0,"peer":0,"waste":0,"connection":0,"handshake":0,
  "membershipMode":0.005,"origin":0}}`

// Player plays both sides of the program: its clients and the servers to which it connects.
type Player struct {
	Address   string // where the program listens
	Listeners map[string]*net.TCPListener
	Values    map[string]string // texts that replace {NAME}, by name
	Callbacks map[string]func() // by name

	connections map[string]*net.TCPConn
	incoming    chan accepted
	unclaimed   []accepted // accepted connections that no step has taken yet
}

// accepted is a connection that the program has opened to a listener.
type accepted struct {
	listener   string
	connection *net.TCPConn
}

// matches reports whether the connection arrived at the listener that a step names.
func (a accepted) matches(listener string) bool {
	return a.listener == listener || listener == anyServer && a.listener[0] == serverListener
}

// Listen opens a listener on a free loopback port and returns its address.
func (p *Player) Listen(tb testing.TB, name string) string {
	tb.Helper()
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = listener.Close() }) // a test may have closed it
	if p.Listeners == nil {
		p.Listeners = map[string]*net.TCPListener{}
		p.incoming = make(chan accepted, maxUnaccepted)
	}
	p.Listeners[name] = listener
	go func() {
		for {
			connection, err := listener.AcceptTCP()
			if err != nil {
				return // the listener was closed
			}
			p.incoming <- accepted{name, connection}
		}
	}()
	return listener.Addr().String()
}

// Play plays a transcript. The first step that fails ends the test.
func (p *Player) Play(tb testing.TB, text string) {
	tb.Helper()
	p.connections = map[string]*net.TCPConn{}
	p.unclaimed = nil
	defer func() {
		for _, connection := range p.connections {
			_ = connection.Close() // a step may have closed it
		}
	}()
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' {
			continue
		}
		name, rest, _ := strings.Cut(line, " ")
		operation, argument, _ := strings.Cut(rest, " ")
		if err := p.step(name, operation, argument); err != nil {
			tb.Fatalf("line %d: %s: %v", i+1, line, err)
		}
	}
}

func (p *Player) step(name, operation, argument string) error {
	if name == callbackKey {
		callback := p.Callbacks[operation]
		if callback == nil {
			return ErrNoCallback
		}
		callback()
		return nil
	}
	switch operation {
	case opOpen:
		return p.open(name, argument)
	case opAccept:
		return p.accept(name, argument)
	}
	connection := p.connections[name]
	if connection == nil {
		return ErrNoConnection
	}
	text, err := p.expand(argument)
	if err != nil {
		return err
	}
	switch operation {
	case opSendLine:
		return send(connection, text+lineEnd)
	case opSend:
		return send(connection, text)
	case opWantLine:
		if ending := ending(argument); ending.valid() {
			return wantEnding(connection, ending)
		}
		return want(connection, text+lineEnd)
	case opWant:
		return want(connection, text)
	case opClose:
		return connection.Close()
	case opCloseSend:
		return connection.CloseWrite()
	case opReset:
		if err := connection.SetLinger(0); err != nil {
			return err
		}
		return connection.Close()
	}
	return ErrUnknownStep
}

// expand replaces each {NAME} in a text by its value, and then the escapes.
func (p *Player) expand(text string) (string, error) {
	for name, value := range p.Values {
		text = strings.ReplaceAll(text, "{"+name+"}", value)
	}
	return strconv.Unquote(`"` + strings.ReplaceAll(text, `"`, `\"`) + `"`)
}

// open connects to the program or, if value is set, to the address in the value of that name.
func (p *Player) open(name, value string) error {
	address := p.Address
	if value != "" {
		address = p.Values[value]
	}
	connection, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	tcp, ok := connection.(*net.TCPConn)
	if !ok {
		return fmt.Errorf("%s: %w", address, errNotTCP)
	}
	p.connections[name] = tcp
	return nil
}

// accept takes the next connection at a listener. It keeps connections at other listeners for later steps.
func (p *Player) accept(name, listener string) error {
	for i, candidate := range p.unclaimed {
		if candidate.matches(listener) {
			p.connections[name] = candidate.connection
			p.unclaimed = append(p.unclaimed[:i], p.unclaimed[i+1:]...)
			return nil
		}
	}
	timeout := time.After(waitTimeout)
	for {
		select {
		case candidate := <-p.incoming:
			if candidate.matches(listener) {
				p.connections[name] = candidate.connection
				return nil
			}
			p.unclaimed = append(p.unclaimed, candidate)
		case <-timeout:
			return ErrNotAccepted
		}
	}
}
