package main

import "testing"

func TestCollectAddsAllResultsOfBatchAndNoOthers(t *testing.T) {
	tests := []struct {
		name        string
		first, last uint64
		output      string
		want        []uint64
	}{
		{"from zero", 0, 1, "{\"seed\":0}\n{\"seed\":1}\n", []uint64{0, 1}},
		{"from one", 1, 2, "{\"seed\":1}\n{\"seed\":2}\n", []uint64{1, 2}},
		{"no output", 3, 3, "", nil},
		{"lines without a result of the batch", 4, 4, "a note\n{\"seed\":4}\n{\"seed\":9}\n", []uint64{4}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var pool schedulePool
			pool.collect(test.first, test.last, []byte(test.output), nil)
			if len(pool.results) != len(test.want) {
				t.Fatalf("collect: got %d results of output %q, want results of the seeds %v",
					len(pool.results), test.output, test.want)
			}
			for i, seed := range test.want {
				if pool.results[i].Seed != seed {
					t.Errorf("collect: result %d: got seed %d, want %d", i, pool.results[i].Seed, seed)
				}
			}
		})
	}
}
