package consensus

import (
	"fmt"
	"os"

	"golang.org/x/sys/unix"
)

// lockFile locks the file so that two processes cannot run a replica on the same disk: they would give one index of the
// log two contents. The lock is released when the file descriptor is closed.
func lockFile(file *os.File) error {
	if err := unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		return fmt.Errorf("lock %s: %w: %w", file.Name(), ErrLocked, err)
	}
	return nil
}
