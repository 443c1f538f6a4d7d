package faults

import (
	"net"
	"testing"
	"time"
)

// listenUDP opens a UDP socket on loopback, and closes it when the test ends.
func listenUDP(t *testing.T) *net.UDPConn {
	t.Helper()
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeQuietly(conn) })
	return conn
}

// passes reports whether a socket receives a datagram that sender sends to an address.
func passes(t *testing.T, sender, receiver *net.UDPConn, address string) bool {
	t.Helper()
	target, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := sender.WriteToUDP([]byte("x"), target); err != nil {
		t.Fatal(err)
	}
	setReadDeadline(receiver, time.Now().Add(400*time.Millisecond))
	_, _, err = receiver.ReadFromUDP(make([]byte, 8))
	return err == nil
}

// TestRelayCutsOneDirection checks that a cut stops the datagrams of its own direction only, and that Heal ends it.
func TestRelayCutsOneDirection(t *testing.T) {
	relay := NewRelay(1)
	defer relay.Close()
	first := listenUDP(t)
	second := listenUDP(t)
	relay.Place("a", "zone:x")
	toSecond, err := relay.Link("a", "b", second.LocalAddr().String(), true)
	if err != nil {
		t.Fatal(err)
	}
	toFirst, err := relay.Link("b", "a", first.LocalAddr().String(), true)
	if err != nil {
		t.Fatal(err)
	}
	if !passes(t, first, second, toSecond) || !passes(t, second, first, toFirst) {
		t.Fatal("sending in both directions without a fault: got a lost datagram, want both delivered")
	}
	relay.Set("zone:x", anyParty, LinkFault{Cut: true})
	if passes(t, first, second, toSecond) {
		t.Error("sending in the direction of a cut: got the datagram delivered, want it dropped")
	}
	if !passes(t, second, first, toFirst) {
		t.Error("sending in the direction opposite to a cut: got the datagram lost, want it delivered")
	}
	relay.Heal()
	if !passes(t, first, second, toSecond) {
		t.Error("sending after Heal: got the datagram lost, want it delivered")
	}
	if dropped := relay.Counts.Dropped.Load(); dropped != 1 {
		t.Errorf("Counts.Dropped after one datagram in the direction of a cut: got %d, want 1", dropped)
	}
}
