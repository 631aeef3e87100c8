// Package record keeps on a disk what must outlive a process: whole files that are versioned, checksummed and replaced at once, and a
// keeper that writes what changed off the gateway's loop.
package snapshot

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"syscall"

	"github.com/fxamacker/cbor/v2"

	"sloepick/internal/recovery"
)

// A file is a line that names it and its version, the length of its body, the body's CRC-32C (RFC 3720, appendix B.4) and the body,
// an image in CBOR (RFC 8949).
const (
	magic    = "sloepick power 1\n"
	headLen  = len(magic) + 8
	fileMost = 64 << 20 // bytes of a body: some million customers
	fileMode = 0o600
	aside    = ".bad" // behind the name of a file that can't be used
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// ErrCorrupt is what Read returns of a file that is no whole image.
var ErrCorrupt = errors.New("not a whole image")

// FS is the part of a file system that this package goes by, so that tests can have any call fail.
type FS interface {
	ReadFile(name string) ([]byte, error)
	CreateTemp(dir, pattern string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	SyncDir(dir string) error
}

// File is one that is written.
type File interface {
	io.WriteCloser
	Name() string
	Chmod(mode os.FileMode) error
	Sync() error
}

// OSFS is the system's own.
type OSFS struct{}

// ReadFile implements FS.
func (OSFS) ReadFile(name string) ([]byte, error) { return os.ReadFile(name) }

// CreateTemp implements FS.
func (OSFS) CreateTemp(dir, pattern string) (File, error) {
	f, err := os.CreateTemp(dir, pattern)
	if err != nil {
		return nil, err // no File that holds no file
	}
	return f, nil
}

// Rename implements FS.
func (OSFS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FS.
func (OSFS) Remove(name string) error { return os.Remove(name) }

// SyncDir implements FS.
func (OSFS) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// Read reads an image. The error is fs.ErrNotExist where there is no file, and ErrSpoilt where it is none.
func Read(fsys FS, name string) (*recovery.Snapshot, error) {
	b, err := fsys.ReadFile(name)
	if err != nil {
		return nil, err
	}
	if len(b) < headLen || string(b[:len(magic)]) != magic {
		return nil, fmt.Errorf("%w: it does not begin as one of this version", ErrCorrupt)
	}
	size, sum := binary.BigEndian.Uint32(b[len(magic):]), binary.BigEndian.Uint32(b[len(magic)+4:])
	body := b[headLen:]
	if int(size) != len(body) {
		return nil, fmt.Errorf("%w: %d bytes of %d", ErrCorrupt, len(body), size)
	}
	if crc32.Checksum(body, castagnoli) != sum {
		return nil, fmt.Errorf("%w: its checksum differs", ErrCorrupt)
	}
	img := &recovery.Snapshot{}
	if err := cbor.Unmarshal(body, img); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return img, nil
}

// Write puts an image in the place of a file, whole or not at all, also if the power is lost on the way. It returns the bytes.
func Write(fsys FS, name string, img *recovery.Snapshot) (n int, err error) {
	body, err := cbor.Marshal(img)
	if err != nil {
		return 0, fmt.Errorf("encoding an image: %w", err)
	}
	if len(body) > fileMost {
		return 0, fmt.Errorf("an image of %d bytes is over %d", len(body), fileMost)
	}
	var b bytes.Buffer
	b.WriteString(magic)
	b.Write(binary.BigEndian.AppendUint32(nil, uint32(len(body))))
	b.Write(binary.BigEndian.AppendUint32(nil, crc32.Checksum(body, castagnoli)))
	b.Write(body)
	return b.Len(), replace(fsys, name, b.Bytes())
}

func replace(fsys FS, name string, b []byte) error {
	dir := filepath.Dir(name)
	f, err := fsys.CreateTemp(dir, filepath.Base(name)+".*")
	if err != nil {
		return err
	}
	_, err = f.Write(b)
	if err = errors.Join(err, f.Chmod(fileMode), f.Sync(), f.Close()); err == nil {
		err = fsys.Rename(f.Name(), name)
	}
	if err != nil {
		return errors.Join(err, fsys.Remove(f.Name()))
	}
	return fsys.SyncDir(dir)
}

// Load reads a member's image at its start. One that can't be used is set aside beside its place, so that nothing is lost.
func Load(fsys FS, name string) (img *recovery.Snapshot, verdict recovery.SnapshotStatus, err error) {
	img, err = Read(fsys, name)
	switch {
	case err == nil:
		return img, recovery.SnapshotValid, nil
	case errors.Is(err, os.ErrNotExist):
		return nil, recovery.SnapshotMissing, nil
	case errors.Is(err, ErrCorrupt):
		return nil, recovery.SnapshotCorrupt, errors.Join(err, SetAside(fsys, name))
	}
	return nil, recovery.SnapshotCorrupt, err // it may be readable later, so it stays
}

// SetAside gives a file that can't be used another name, in place of a former one of that name.
func SetAside(fsys FS, name string) error { return fsys.Rename(name, name+aside) }

// Lock holds a file for this process, until the process ends: two must not keep one member's state. It is held by the file's own lock
// (flock), which the system lets go.
func Lock(name string) (*os.File, error) {
	f, err := os.OpenFile(name, os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, fmt.Errorf("the lock of the state: %w", err)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		return nil, fmt.Errorf("another process keeps its state under %s: %w", name, err)
	}
	return f, nil
}
