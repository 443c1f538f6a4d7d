package agree

import (
	"fmt"

	"golang.org/x/sys/unix"
)

// lock guards against two processes that vote with one disk: they would give one number two contents.
func (s *Store) lock() error {
	if err := unix.Flock(int(s.file.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		return fmt.Errorf("%s is another process's: %w", s.file.Name(), err)
	}
	return nil
}
