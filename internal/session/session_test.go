package session

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"spurwinch/choice"
)

// TestTable compares the table with a plain model over random histories in simulated time: it never holds more than its bound,
// tells nothing that has aged or was forgotten, and of a user what was heard of last.
func TestTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		most := rapid.IntRange(1, 12).Draw(t, "most")
		table, now := New(most), time.Unix(1e9, 0)
		var model []Session // by their last news, oldest first
		drop := func(k Key) (s Session, ok bool) {
			for i, o := range model {
				if o.Key == k {
					model = append(model[:i:i], model[i+1:]...)
					return o, true
				}
			}
			return s, false
		}
		for step := range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "later")) * time.Second)
			n := rapid.IntRange(0, 15).Draw(t, "session")
			s := Session{Key: Key{"d", fmt.Sprint(n)}, User: fmt.Sprint("u", n%3), Host: choice.ServerID(fmt.Sprint("h", step)),
				Max: time.Duration(rapid.IntRange(0, 60).Draw(t, "max")) * time.Second}
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				table.Stands(now, s)
				drop(s.Key)
				model = append(model, s)
			case 2:
				table.Broke(now, s.Key)
				for _, o := range model {
					if o.Key == s.Key && o.Until.IsZero() {
						drop(s.Key)
						o.Until = now.Add(o.Max)
						model = append(model, o)
						break
					}
				}
			case 3:
				table.Forget(s.Key)
				drop(s.Key)
			}
			if table.Len() > most || table.standing.Len()+table.broken.Len() != table.Len() {
				t.Fatalf("%d sessions in a table for %d, %d standing, %d broken", table.Len(), most, table.standing.Len(), table.broken.Len())
			}
			if len(model) > most { // for room those without a stream go first, the oldest of each
				for i := 0; i < len(model); {
					if o := model[i]; table.by[o.Key] != nil {
						i++
						continue
					}
					if o, left := model[i], table.broken.Len(); o.Until.IsZero() && left > 0 {
						t.Fatalf("%+v went for room, %d without a stream stay", o, left)
					}
					model = append(model[:i:i], model[i+1:]...)
				}
			}
			indexed := 0
			for _, all := range table.users {
				indexed += len(all)
			}
			if indexed != table.Len() {
				t.Fatalf("%d sessions by user, %d in all", indexed, table.Len())
			}
			for i := range 16 {
				k := Key{"d", fmt.Sprint(i)}
				got, ok := table.Find(now, k)
				var want Session
				for _, o := range model {
					if o.Key == k {
						want = o
					}
				}
				if ok && (got != want || got.old(now)) {
					t.Fatalf("found %+v, the last news is %+v", got, want)
				}
				if !ok && want.ID != "" && !want.old(now) && len(model) <= most {
					t.Fatalf("%+v is not found", want)
				}
			}
			for u := range 3 {
				got, ok := table.Of(now, "d", fmt.Sprint("u", u))
				if !ok || len(model) > most {
					continue
				}
				for i := len(model) - 1; i >= 0; i-- {
					if o := model[i]; o.User == fmt.Sprint("u", u) && !o.old(now) {
						if o != got {
							t.Fatalf("of the user %+v, heard last of %+v", got, o)
						}
						break
					}
				}
			}
		}
	})
}

// TestInherit has another process take over: what has no stream goes along newest first, what is known better stays.
func TestInherit(t *testing.T) {
	now := time.Unix(1e9, 0)
	old, next := New(10), New(10)
	for i := range 5 {
		k := Key{"d", fmt.Sprint(i)}
		old.Stands(now, Session{Key: k, User: "u", Host: "a", Max: time.Minute})
		if i > 0 {
			old.Broke(now.Add(time.Duration(i)*time.Second), k)
		}
	}
	next.Stands(now, Session{Key: Key{"d", "4"}, User: "u", Host: "b", Max: time.Minute})
	told := old.Broken(now.Add(9*time.Second), 3)
	told = append(told, Session{Key: Key{"d", "x"}, Host: "a", Until: now.Add(48 * time.Hour)}, Session{Key: Key{"d", "y"}, Until: now.Add(time.Hour)})
	next.Inherit(now.Add(9*time.Second), told)
	if s, _ := next.Find(now, Key{"d", "4"}); s.Host != "b" {
		t.Error("what is known better was given up")
	}
	for id, want := range map[string]bool{"0": false, "1": false, "2": true, "3": true, "x": false, "y": false} {
		if _, ok := next.Find(now.Add(10*time.Second), Key{"d", id}); ok != want {
			t.Errorf("session %s: %v", id, ok)
		}
	}
	if _, ok := next.Find(now.Add(2*time.Minute), Key{"d", "3"}); ok {
		t.Error("an aged session is found")
	}
}
