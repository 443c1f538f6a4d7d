package planner

import (
	"reflect"
	"testing"
)

// TestUpperBoundOfLoadWithGroupsIsDeterministic checks that the bound of a load with groups is the same to the last
// digit in each call. Sums in map order differ in their last digits.
func TestUpperBoundOfLoadWithGroupsIsDeterministic(t *testing.T) {
	description := eveningFleet(t)
	load := generateLoad(description, 5, 300, 40)
	first := UpperBound(description, load)
	for range 20 {
		if again := UpperBound(description, load); !reflect.DeepEqual(again, first) {
			t.Fatalf("UpperBound in repeated calls: got first %+v, then %+v, want the same bound", first, again)
		}
	}
}
