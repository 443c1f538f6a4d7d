package consensus

import (
	"fmt"
	"os"

	"golang.org/x/sys/unix"
)

// lockFile guards against two processes that run a replica on one disk: they would give one index two contents. The
// lock ends with the file's descriptor.
func lockFile(file *os.File) error {
	if err := unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		return fmt.Errorf("lock %s: %w: %w", file.Name(), ErrLocked, err)
	}
	return nil
}
