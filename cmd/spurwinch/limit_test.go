package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"spurwinch/internal/cluster"
	"spurwinch/internal/config"
	"spurwinch/internal/loop"
	"spurwinch/internal/wire"
)

// TestConnectionLimit checks that a node at its limit of descriptors refuses with advice, cuts off what comes beyond,
// and serves again once there is room.
func TestConnectionLimit(t *testing.T) {
	h, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer h.Close()
	go func() {
		for {
			c, err := h.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				if _, err := r.ReadString('\n'); err == nil {
					fmt.Fprint(c, "UP 1\r\n")
				}
				io.Copy(io.Discard, r)
			}()
		}
	}()
	n := config.Node{Listen: "127.0.0.1:0", Discovery: "127.0.0.1:9", Seed: 1, Sockets: spareSockets + 20}
	if n.Settings, err = wire.DecodeSettings([]byte(strings.Replace(settings, "REPORTS", "off", 1))); err != nil {
		t.Fatal(err)
	}
	if n.Known, err = cluster.Parse([]byte(fmt.Sprintf(`{"version":1,"full":true,"servers":[{"id":"s","addr":%q,"state":"SERVING"}]}`, h.Addr()))); err != nil {
		t.Fatal(err)
	}
	l, err := loop.New()
	if err != nil {
		t.Fatal(err)
	}
	_, at, err := serve(l, n)
	if err != nil {
		t.Fatal(err)
	}
	start(t, l)
	next := 0
	open := func() (string, net.Conn) {
		c, err := net.Dial("tcp", at.String())
		if err != nil { // cut off as soon as it was made
			return "", nil
		}
		next++
		fmt.Fprintf(c, "OPEN %d 01 c=chat,d=3000\r\n", next)
		c.SetReadDeadline(time.Now().Add(20 * time.Second))
		l, _ := bufio.NewReader(c).ReadString('\n')
		return strings.TrimSpace(l), c
	}
	var held []net.Conn
	seen := map[string]int{}
	for range 60 {
		answer, c := open()
		seen[answer]++
		if c != nil {
			held = append(held, c)
		}
		if answer == "UP 1" && seen["BUSY 1000"]+seen[""] > 0 {
			t.Error("served beyond the limit")
		}
	}
	if seen["UP 1"] < 5 || seen["BUSY 1000"] == 0 || seen["UP 1"]+seen["BUSY 1000"]+seen[""] != 60 {
		t.Errorf("answers %v", seen)
	}
	for _, c := range held {
		c.Close()
	}
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		answer, c := open()
		if c != nil {
			c.Close()
		}
		if answer == "UP 1" {
			return
		}
		if time.Now().After(end) {
			t.Fatal("not served again: ", answer)
		}
	}
}
