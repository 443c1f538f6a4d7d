package line

import (
	"errors"
	"strings"
	"testing"
)

func TestReaderAssemblesLinesFromPieces(t *testing.T) {
	input := "a\r\n\r\nlonger line\r\nrest"
	for size := 1; size <= len(input); size++ {
		var reader Reader
		var got []string
		for left := []byte(input); len(left) > 0; {
			piece := left[:min(size, len(left))]
			left = left[len(piece):]
			if err := reader.Scan(piece, func(text []byte) { got = append(got, string(text)) }); err != nil {
				t.Fatal(err)
			}
		}
		if strings.Join(got, "|") != "a\r\n|\r\n|longer line\r\n" || string(reader.partial) != "rest" {
			t.Errorf("Scan in pieces of %d bytes: got %q and partial %q, want a, empty, longer line and partial rest",
				size, got, reader.partial)
		}
	}
}

func TestLineTooLong(t *testing.T) {
	longest := strings.Repeat("x", MaxBytes-1) + "\n"
	for _, test := range []struct {
		input string
		want  error
	}{
		{longest, nil},
		{longest + longest, nil},
		{"x" + longest, ErrTooLong},
		{strings.Repeat("x", MaxBytes+1), ErrTooLong},
	} {
		for _, size := range []int{1, 100, len(test.input)} {
			var reader Reader
			var scanner Scanner
			var readerErr, scannerErr error
			for left := []byte(test.input); len(left) > 0 && readerErr == nil && scannerErr == nil; {
				piece := left[:min(size, len(left))]
				left = left[len(piece):]
				readerErr = reader.Scan(piece, func([]byte) {})
				scannerErr = scanner.Count(piece, func() {})
			}
			if !errors.Is(readerErr, test.want) || !errors.Is(scannerErr, test.want) {
				t.Errorf("%d bytes in pieces of %d: got Scan %v, Count %v, want ErrTooLong only beyond MaxBytes",
					len(test.input), size, readerErr, scannerErr)
			}
		}
	}
}

func TestFindField(t *testing.T) {
	const absent = "-"
	for _, test := range []struct{ list, name, want string }{
		{"c=chat,t=acme,d=2000\r\n", "d", "2000"},
		{"c=chat,d=", "d", ""},
		{"dd=1,d=2", "d", "2"},
		{"a=d=3,d=4", "d", "4"},
		{"c=chat", "d", absent},
		{"d", "d", absent},
		{"", "d", absent},
		{"=x", "", absent},
		{"\r\n", "d", absent},
		{",,d=5,", "d", "5"},
	} {
		got := absent
		if from, to := FindField([]byte(test.list), test.name); from >= 0 {
			got = test.list[from:to]
		}
		if got != test.want {
			t.Errorf("FindField(%q) in %q: got %q, want %q", test.name, test.list, got, test.want)
		}
	}
}

func TestParseNumber(t *testing.T) {
	for text, want := range map[string]float64{"0": 0, "-0": 0, "1.5": 1.5, "1e3": 1000} {
		if got, ok := ParseNumber(text); !ok || got != want {
			t.Errorf("ParseNumber(%q): got %v, %v, want its value and true", text, got, ok)
		}
	}
	for _, text := range []string{"", "x", "1 ", "-1", "NaN", "Inf", "+Inf", "-Inf", "1e999"} {
		if got, ok := ParseNumber(text); ok {
			t.Errorf("ParseNumber(%q): got %v, want an invalid number", text, got)
		}
	}
}
