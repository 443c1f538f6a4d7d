package capture

import (
	"fmt"
	"os"
	"time"

	"github.com/klauspost/compress/zstd"
)

const (
	fileMode       = 0o640
	fileTimeLayout = "20060102T150405.000"
)

// rotatingFile writes blocks to the newest of a limited number of files and removes the oldest ones.
type rotatingFile struct {
	path     string    // names are PATH-START-NUMBER.spwcap
	start    time.Time // of the capture
	maxBytes int64     // size from which a file is closed
	maxFiles int
	encoder  *zstd.Encoder

	file   *os.File // nil: no file is open
	size   int64    // of the open file, in bytes
	names  []string // names of the kept files, oldest first
	number int      // number of the next file
	block  []byte   // buffer, reused for each block
}

// create creates the next file with the magic line, and removes the oldest file if there are more than maxFiles.
func (f *rotatingFile) create() error {
	name := fmt.Sprintf("%s-%s-%04d.spwcap", f.path, f.start.UTC().Format(fileTimeLayout), f.number)
	file, err := os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_EXCL, fileMode)
	if err != nil {
		return fmt.Errorf("capture: %w", err)
	}
	f.file = file
	f.size = int64(len(magic))
	f.number++
	f.names = append(f.names, name)
	if len(f.names) > f.maxFiles {
		_ = os.Remove(f.names[0]) // the operator may have removed the file already
		f.names = f.names[1:]
	}
	_, err = file.WriteString(magic)
	return err
}

// writeBlock writes a block with the given content to the open file.
func (f *rotatingFile) writeBlock(content []byte) error {
	f.block = appendBlock(f.block[:0], content, f.encoder)
	n, err := f.file.Write(f.block)
	f.size += int64(n)
	if err != nil {
		return fmt.Errorf("capture: %w", err)
	}
	return nil
}

func (f *rotatingFile) isOpen() bool { return f.file != nil }

// isFull reports whether the open file has reached maxBytes.
func (f *rotatingFile) isFull() bool { return f.size >= f.maxBytes }

// close closes the open file, if there is one. The Writer starts another file for its next block.
func (f *rotatingFile) close() {
	if f.file == nil {
		return
	}
	_ = f.file.Close() // failed writes have already returned their errors
	f.file = nil
}
