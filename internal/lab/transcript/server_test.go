package transcript

import "testing"

// TestFreeAddrsDiffer guards against two listeners of a test that share one address: the kernel then gives each client
// to either of them.
func TestFreeAddrsDiffer(t *testing.T) {
	const count = 2000 // the kernel chooses among some 7,000 ports, so that it repeats some
	seen := map[string]bool{}
	for range count {
		address := FreeAddr(t)
		if seen[address] {
			t.Fatalf("FreeAddr: got %s twice, want each address once", address)
		}
		seen[address] = true
	}
}
