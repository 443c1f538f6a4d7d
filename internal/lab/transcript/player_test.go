package transcript

import (
	"errors"
	"strings"
	"testing"
)

// TestPlay plays a transcript against the echo server.
func TestPlay(t *testing.T) {
	called := false
	player := &Player{
		Address:   EchoServer(t),
		Values:    map[string]string{"name": "x"},
		Callbacks: map[string]func(){"call": func() { called = true }},
	}
	player.Play(t, `
		# a comment
		c open
		c > OPEN
		c < UP {*}
		c >> a "{name}"\n
		c << a "x"\n
		c > two words
		c < two {*}
		c < SILENCE
		do call
		c half
		c < END
		c end
	`)
	if !called {
		t.Error("the callback was not called")
	}
}

// TestAcceptPassesOver checks that a step accepts the connection of its listener, and that another one stays for a
// later step.
func TestAcceptPassesOver(t *testing.T) {
	player := &Player{Values: map[string]string{}}
	player.Values["first"] = player.Listen(t, "h1")
	player.Values["second"] = player.Listen(t, "d")
	player.Play(t, `
		a open first
		b open second
		s accept d
		s > from d
		b < from d
		r accept *
		r reset
		a < RESET
	`)
}

// TestStepFails checks that a step whose outcome is another one fails.
func TestStepFails(t *testing.T) {
	player := &Player{Address: EchoServer(t)}
	player.Play(t, "# nothing")
	for _, step := range [][3]string{{"c", "open", ""}, {"c", ">", "OPEN"}, {"c", "<", "UP 1"}} {
		if err := player.step(step[0], step[1], step[2]); err != nil {
			t.Fatal(step, err)
		}
	}
	for _, test := range []struct {
		sent, operation, text string
		wanted                error
	}{
		{strings.Repeat("one", 200), "<", "two", errTooMuchOutput}, // a text is compared until it has too many bytes
		{"one", "<", "END", errTooMuchOutput},
		{"one", "<", "RESET", errTooMuchOutput},
		{"one", "<", "SILENCE", errTooMuchOutput},
		{"one", "~", "", ErrUnknownStep},
	} {
		if err := player.step("c", ">", test.sent); err != nil {
			t.Fatal(err)
		}
		if err := player.step("c", test.operation, test.text); !errors.Is(err, test.wanted) {
			t.Errorf("%s %s: %v", test.operation, test.text, err)
		}
	}
	if err := player.step("d", "<", "x"); !errors.Is(err, ErrNoConnection) {
		t.Errorf("without a connection: %v", err)
	}
	if err := player.step("do", "x", ""); !errors.Is(err, ErrNoCallback) {
		t.Errorf("without a callback: %v", err)
	}
}
