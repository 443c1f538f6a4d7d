package consensus

import "os"

// disk is the set of calls by which a Store changes the disk. Tests replace it with an implementation whose calls fail.
type disk interface {
	WriteAt(file *os.File, data []byte, offset int64) error
	Sync(file *os.File) error
	Rename(from, to string) error
	SyncDir(dir string) error
}

// osDisk implements disk with the calls of the operating system.
type osDisk struct{}

func (osDisk) WriteAt(file *os.File, data []byte, offset int64) error {
	_, err := file.WriteAt(data, offset)
	return err
}

func (osDisk) Sync(file *os.File) error { return file.Sync() }

func (osDisk) Rename(from, to string) error { return os.Rename(from, to) }

func (osDisk) SyncDir(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = dir.Close() }() // nothing is written through it
	return dir.Sync()
}
