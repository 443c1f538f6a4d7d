package planner

import (
	"reflect"
	"testing"
)

// TestUpperBoundRepeats checks that the bound of a load with groups is the same to the last digit each time: a sum in
// the order of a map is not.
func TestUpperBoundRepeats(t *testing.T) {
	description := eveningFleet(t)
	load := draw(description, 5, 300, 40)
	first := UpperBound(description, load)
	for range 20 {
		if again := UpperBound(description, load); !reflect.DeepEqual(again, first) {
			t.Fatalf("first %+v, then %+v", first, again)
		}
	}
}
