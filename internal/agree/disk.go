package agree

import "os"

// disk is what the store asks of a disk. Tests put one in its place on which calls fail.
type disk interface {
	WriteAt(f *os.File, p []byte, at int64) error
	Sync(f *os.File) error
	Rename(from, to string) error
	SyncFolder(dir string) error
}

// files is the disk itself.
type files struct{}

func (files) WriteAt(f *os.File, p []byte, at int64) error {
	_, err := f.WriteAt(p, at)
	return err
}

func (files) Sync(f *os.File) error { return f.Sync() }

func (files) Rename(from, to string) error { return os.Rename(from, to) }

func (files) SyncFolder(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}
