// Package snapshot stores on disk the state that must outlive a process. Files are versioned, checksummed and replaced atomically; a
// Store writes them outside the gateway's event loop.
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

// A file starts with a line that gives the format and its version. The length of the body, its CRC-32C (RFC 3720, appendix B.4) and the
// body follow: a recovery.Snapshot in CBOR (RFC 8949).
const (
	magic          = "sloepick power 1\n"
	headerLen      = len(magic) + 8
	maxBodyBytes   = 64 << 20 // enough for some million customers
	fileMode       = 0o600
	unusableSuffix = ".bad" // appended to the name of a file that can't be used
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// ErrCorrupt is returned by Read if a file doesn't hold a whole snapshot.
var ErrCorrupt = errors.New("not a whole image")

// FS is the part of a file system that this package uses. Tests replace it to make any call fail.
type FS interface {
	ReadFile(name string) ([]byte, error)
	CreateTemp(dir, pattern string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	SyncDir(dir string) error
}

// File is a file opened for writing.
type File interface {
	io.WriteCloser
	Name() string
	Chmod(mode os.FileMode) error
	Sync() error
}

// OSFS is the operating system's file system.
type OSFS struct{}

// ReadFile implements FS.
func (OSFS) ReadFile(name string) ([]byte, error) { return os.ReadFile(name) }

// CreateTemp implements FS.
func (OSFS) CreateTemp(dir, pattern string) (File, error) {
	f, err := os.CreateTemp(dir, pattern)
	if err != nil {
		return nil, err // not f: a nil *os.File in the interface would not compare equal to nil
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

// Read reads a snapshot. The error wraps fs.ErrNotExist if there is no file, and ErrCorrupt if the file isn't a whole snapshot.
func Read(fsys FS, name string) (*recovery.Snapshot, error) {
	b, err := fsys.ReadFile(name)
	if err != nil {
		return nil, err
	}
	if len(b) < headerLen || string(b[:len(magic)]) != magic {
		return nil, fmt.Errorf("%w: the header is not that of this version", ErrCorrupt)
	}
	size, sum := binary.BigEndian.Uint32(b[len(magic):]), binary.BigEndian.Uint32(b[len(magic)+4:])
	body := b[headerLen:]
	if int(size) != len(body) {
		return nil, fmt.Errorf("%w: the body has %d bytes, the header says %d", ErrCorrupt, len(body), size)
	}
	if crc32.Checksum(body, castagnoli) != sum {
		return nil, fmt.Errorf("%w: the checksum doesn't match", ErrCorrupt)
	}
	snap := &recovery.Snapshot{}
	if err := cbor.Unmarshal(body, snap); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return snap, nil
}

// Write replaces a file by a snapshot atomically, also if the power is lost meanwhile. It returns the size of the file.
func Write(fsys FS, name string, snap *recovery.Snapshot) (n int, err error) {
	body, err := cbor.Marshal(snap)
	if err != nil {
		return 0, fmt.Errorf("encoding a snapshot: %w", err)
	}
	if len(body) > maxBodyBytes {
		return 0, fmt.Errorf("a snapshot of %d bytes is over the limit of %d", len(body), maxBodyBytes)
	}
	var b bytes.Buffer
	b.WriteString(magic)
	b.Write(binary.BigEndian.AppendUint32(nil, uint32(len(body))))
	b.Write(binary.BigEndian.AppendUint32(nil, crc32.Checksum(body, castagnoli)))
	b.Write(body)
	return b.Len(), replaceFile(fsys, name, b.Bytes())
}

// replaceFile writes a temporary file beside the named one, syncs it, renames it and syncs the directory.
func replaceFile(fsys FS, name string, b []byte) error {
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

// Load reads a member's snapshot when it starts. A corrupt file is renamed by SetAside, so that nothing is lost.
func Load(fsys FS, name string) (snap *recovery.Snapshot, status recovery.SnapshotStatus, err error) {
	snap, err = Read(fsys, name)
	switch {
	case err == nil:
		return snap, recovery.SnapshotValid, nil
	case errors.Is(err, os.ErrNotExist):
		return nil, recovery.SnapshotMissing, nil
	case errors.Is(err, ErrCorrupt):
		return nil, recovery.SnapshotCorrupt, errors.Join(err, SetAside(fsys, name))
	}
	return nil, recovery.SnapshotCorrupt, err // it may be readable later, so it is not renamed
}

// SetAside renames a file that can't be used to its name with unusableSuffix. It replaces a file of that name.
func SetAside(fsys FS, name string) error { return fsys.Rename(name, name+unusableSuffix) }

// Lock locks a file (flock) until the process ends, when the system releases it: two processes must not keep the state of one member.
func Lock(name string) (*os.File, error) {
	f, err := os.OpenFile(name, os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, fmt.Errorf("opening the lock file of the state: %w", err)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		return nil, fmt.Errorf("another process keeps its state under %s: %w", name, err)
	}
	return f, nil
}
