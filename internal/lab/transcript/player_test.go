package transcript

import (
	"errors"
	"strings"
	"testing"
)

// TestPlayAgainstEchoServer plays a transcript with client steps and a callback against the echo server.
func TestPlayAgainstEchoServer(t *testing.T) {
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
		t.Error("Play: the step \"do call\" did not call the callback")
	}
}

// TestAcceptKeepsConnectionsOfOtherListeners checks that a step accepts a connection at its own listener, and that a
// connection at another listener remains for a later step.
func TestAcceptKeepsConnectionsOfOtherListeners(t *testing.T) {
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

// TestStepFailsOnUnexpectedOutcome checks that a step fails if its outcome differs from the expected one.
func TestStepFailsOnUnexpectedOutcome(t *testing.T) {
	player := &Player{Address: EchoServer(t)}
	player.Play(t, "# nothing")
	for _, step := range [][3]string{{"c", "open", ""}, {"c", ">", "OPEN"}, {"c", "<", "UP 1"}} {
		if err := player.step(step[0], step[1], step[2]); err != nil {
			t.Fatal(step, err)
		}
	}
	for _, test := range []struct {
		sent, operation, text string
		want                  error
	}{
		{strings.Repeat("one", 200), "<", "two", errTooMuchOutput}, // reading stops when the text has too many bytes
		{"one", "<", "END", errTooMuchOutput},
		{"one", "<", "RESET", errTooMuchOutput},
		{"one", "<", "SILENCE", errTooMuchOutput},
		{"one", "~", "", ErrUnknownStep},
	} {
		if err := player.step("c", ">", test.sent); err != nil {
			t.Fatal(err)
		}
		if err := player.step("c", test.operation, test.text); !errors.Is(err, test.want) {
			t.Errorf("step %s %s: got error %v, want errTooMuchOutput, or ErrUnknownStep for operation ~",
				test.operation, test.text, err)
		}
	}
	if err := player.step("d", "<", "x"); !errors.Is(err, ErrNoConnection) {
		t.Errorf("step without a connection: got error %v, want ErrNoConnection", err)
	}
	if err := player.step("do", "x", ""); !errors.Is(err, ErrNoCallback) {
		t.Errorf("step without a callback: got error %v, want ErrNoCallback", err)
	}
}
