package line

import (
	"strings"
	"testing"
)

func TestReader(t *testing.T) {
	in := "a\r\n\r\nlonger line\r\nrest"
	for size := 1; size <= len(in); size++ {
		var r Reader
		var got []string
		for p := []byte(in); len(p) > 0; {
			n := min(size, len(p))
			if err := r.Scan(p[:n], func(l []byte) { got = append(got, string(l)) }); err != nil {
				t.Fatal(err)
			}
			p = p[n:]
		}
		if strings.Join(got, "|") != "a\r\n|\r\n|longer line\r\n" || string(r.partial) != "rest" {
			t.Errorf("pieces of %d: %q, then %q", size, got, r.partial)
		}
	}
}

func TestTooLong(t *testing.T) {
	fits := strings.Repeat("x", Max-1) + "\n"
	for _, c := range []struct {
		in   string
		want error
	}{{fits, nil}, {fits + fits, nil}, {"x" + fits, ErrTooLong}, {strings.Repeat("x", Max+1), ErrTooLong}} {
		for _, size := range []int{1, 100, len(c.in)} {
			var r Reader
			var s Scanner
			var errs [2]error
			for p := []byte(c.in); len(p) > 0 && errs[0] == nil && errs[1] == nil; {
				n := min(size, len(p))
				errs[0], errs[1] = r.Scan(p[:n], func([]byte) {}), s.Count(p[:n], func() {})
				p = p[n:]
			}
			if errs[0] != c.want || errs[1] != c.want {
				t.Errorf("%d bytes in pieces of %d: %v", len(c.in), size, errs)
			}
		}
	}
}

func TestFind(t *testing.T) {
	for _, c := range []struct{ list, name, want string }{
		{"c=chat,t=acme,d=2000\r\n", "d", "2000"}, {"c=chat,d=", "d", ""}, {"dd=1,d=2", "d", "2"}, {"a=d=3,d=4", "d", "4"},
		{"c=chat", "d", "-"}, {"d", "d", "-"}, {"", "d", "-"}, {"=x", "", "-"}, {"\r\n", "d", "-"}, {",,d=5,", "d", "5"},
	} {
		got := "-"
		if from, to := Find([]byte(c.list), c.name); from >= 0 {
			got = c.list[from:to]
		}
		if got != c.want {
			t.Errorf("%q in %q: %q, want %q", c.name, c.list, got, c.want)
		}
	}
}
