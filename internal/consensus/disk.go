package consensus

import "os"

// disk has the calls of a Store that change what is on a disk. Tests replace it by one on which calls fail.
type disk interface {
	WriteAt(file *os.File, data []byte, offset int64) error
	Sync(file *os.File) error
	Rename(from, to string) error
	SyncDir(dir string) error
}

// osDisk is the disk of the operating system.
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
	defer func() { _ = dir.Close() }() // only read
	return dir.Sync()
}
