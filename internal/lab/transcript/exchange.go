// Package transcript plays recorded byte exchanges against a program on loopback sockets and compares what comes back.
// It serves tests only.
//
// An exchange is a text file, one step a line:
//
//	# a comment
//	c open              connect to the program as c; c open NAME connects to the value NAME
//	s accept h1         take the program's next connection at the listener h1 (* for any whose name starts with h) as s
//	c > TEXT            send TEXT and CRLF; >> sends it without
//	c < TEXT            the next bytes that come must be TEXT and CRLF; << without
//	c < END             or RESET, or SILENCE: the end, a reset, or nothing for a moment
//	c end               close; or reset; or half, which ends the sending only
//	do NAME             call back into the test
//
// In what is sent, {NAME} is replaced by a value of the test; in what must come, {*} stands for any text without quotes,
// and \n, \r, \" are as in Go.
package transcript

import (
	"errors"
	"fmt"
	"io"
	"net"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

const (
	patience = 20 * time.Second       // for what must come: far beyond any need, so that no verdict hangs on speed
	silence  = 300 * time.Millisecond // for what must not come
)

// Settings of a small node; REPORTS and TRIES are set by the exchange.
const Settings = `{"groupSize":1,"index":0,"az":"a","membershipMode":"on_request","roundS":0.005,"overShareWorth":0.05,
 "customers":[{"name":"acme","quotaRps":10,"fraction":1}],"weightSource":"off","worthBy":"request",
 "domain":{"groups":false,"mode":"proxy","messageAimS":[0.06],"parkS":0,"tellsDelay":false,"tenantQuotaConnections":[]},
 "invariants":{"answerSlackS":0.02,"askWithinS":10,"coldShare":0.14,"fallMultiple":4,"fallS":2,"rampTimeS":24,"stopSendingWithinS":3},
 "loadReport":{"via":"REPORTS","fields":["recent_ms","utilization","x0"]},
 "policyLimits":{"connectTimeoutS":1,"mayCancel":true,"mayProbe":true,"mayTell":false,"retryAfter":true,"maxRetryAfterS":2,"secondCopies":false,"sendCap":4},
 "profiles":[{"name":"chat","aimS":0.8,"giveUpS":4,"idempotency":"safe","dedupScope":"all","dedupWindowS":5,"value":1}],
 "tariffs":{"probe":0.002,"crossZone":0,"lateFail":0,"moves":0,"peer":0,"waste":0}}`

// Player holds the two sides of the program.
type Player struct {
	Addr      string // of the program
	Listeners map[string]*net.TCPListener
	Values    map[string]string
	Do        map[string]func()
	conns     map[string]*net.TCPConn
	taken     chan taken
}

type taken struct {
	at   string
	conn *net.TCPConn
}

// Listen opens a listener on a free loopback port and returns its address.
func (p *Player) Listen(t testing.TB, name string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	if p.Listeners == nil {
		p.Listeners, p.taken = map[string]*net.TCPListener{}, make(chan taken, 64)
	}
	p.Listeners[name] = l.(*net.TCPListener)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			p.taken <- taken{name, c.(*net.TCPConn)}
		}
	}()
	return l.Addr().String()
}

// Play plays the exchange in text.
func (p *Player) Play(t testing.TB, text string) {
	p.conns = map[string]*net.TCPConn{}
	defer func() {
		for _, c := range p.conns {
			c.Close()
		}
	}()
	var spare []taken
	for i, l := range strings.Split(text, "\n") {
		l = strings.TrimSpace(l)
		if l == "" || l[0] == '#' {
			continue
		}
		name, rest, _ := strings.Cut(l, " ")
		op, arg, _ := strings.Cut(rest, " ")
		if err := p.step(name, op, arg, &spare); err != nil {
			t.Fatalf("line %d: %s: %v", i+1, l, err)
		}
	}
}

func (p *Player) step(name, op, arg string, spare *[]taken) error {
	if name == "do" {
		p.Do[op]()
		return nil
	}
	c := p.conns[name]
	if c == nil && op != "open" && op != "accept" {
		return errors.New("no such connection")
	}
	text := arg
	for k, v := range p.Values {
		text = strings.ReplaceAll(text, "{"+k+"}", v)
	}
	text, err := strconv.Unquote(`"` + strings.ReplaceAll(text, `"`, `\"`) + `"`)
	if err != nil {
		return err
	}
	switch op {
	case "open":
		addr := p.Addr
		if arg != "" {
			addr = p.Values[arg]
		}
		c, err := net.Dial("tcp", addr)
		if err == nil {
			p.conns[name] = c.(*net.TCPConn)
		}
		return err
	case "accept":
		for i, k := range *spare {
			if arg == "*" && k.at[0] == 'h' || k.at == arg {
				p.conns[name] = k.conn
				*spare = append((*spare)[:i], (*spare)[i+1:]...)
				return nil
			}
		}
		for end := time.After(patience); ; {
			select {
			case k := <-p.taken:
				if arg == "*" && k.at[0] == 'h' || k.at == arg {
					p.conns[name] = k.conn
					return nil
				}
				*spare = append(*spare, k)
			case <-end:
				return errors.New("nothing connected")
			}
		}
	case ">":
		_, err := c.Write([]byte(text + "\r\n"))
		return err
	case ">>":
		_, err := c.Write([]byte(text))
		return err
	case "<":
		switch arg {
		case "END", "RESET", "SILENCE":
			return ending(c, arg)
		}
		return expect(c, text+"\r\n")
	case "<<":
		return expect(c, text)
	case "end":
		return c.Close()
	case "half":
		return c.CloseWrite()
	case "reset":
		c.SetLinger(0)
		return c.Close()
	}
	return errors.New("unknown step")
}

func expect(c *net.TCPConn, want string) error {
	re := regexp.MustCompile("^" + strings.ReplaceAll(regexp.QuoteMeta(want), `\{\*\}`, `[^'"]*`) + "$")
	var got []byte
	c.SetReadDeadline(time.Now().Add(patience))
	for b := make([]byte, 1); !re.Match(got); {
		if _, err := c.Read(b); err != nil {
			return fmt.Errorf("came %q, then %v", got, err)
		}
		if got = append(got, b[0]); len(got) > len(want)+256 {
			return fmt.Errorf("came %q", got)
		}
	}
	return nil
}

func ending(c *net.TCPConn, want string) error {
	c.SetReadDeadline(time.Now().Add(patience))
	if want == "SILENCE" {
		c.SetReadDeadline(time.Now().Add(silence))
	}
	var b [256]byte
	n, err := c.Read(b[:])
	var late net.Error
	switch {
	case n > 0:
		return fmt.Errorf("came %q", b[:n])
	case want == "END" && err == io.EOF, want == "RESET" && errors.Is(err, syscall.ECONNRESET),
		want == "SILENCE" && errors.As(err, &late) && late.Timeout():
		return nil
	}
	return fmt.Errorf("came %v", err)
}
