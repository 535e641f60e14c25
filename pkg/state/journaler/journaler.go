// Package journaler keeps an append-only journal and a snapshot in one folder.
//
// When Append returns, its records have been synced to disk. The records of
// one Append call form a frame with one checksum. Open truncates a torn frame
// at the end of the journal, which a crash during a write leaves behind. If an
// intact frame follows a corrupt one, Open returns an error instead, since
// truncating there would drop acknowledged records.
//
// The snapshot file holds a generation number. The records that follow the
// snapshot are in the file journal.N, where N is that number. Compact writes the
// files of the next generation.
//
// Limitation: corruption of the last frame cannot be distinguished from a torn
// write, so Open truncates it as well.
package journaler

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
)

const (
	snapshotName = "snapshot"
	journalName  = "journal"
	headerBytes  = 8
	// maxFrameBytes bounds the frame length that is accepted from a possibly
	// corrupt length field.
	maxFrameBytes = 1 << 30
	fileMode      = 0o600
)

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// Contents is what a folder contained when it was opened.
type Contents struct {
	snapshot       []byte
	records        [][]byte
	truncatedBytes int64
}

// Snapshot returns the newest snapshot, or nil if there is none.
func (c Contents) Snapshot() []byte { return c.snapshot }

// Records returns the records appended since the snapshot, oldest first.
func (c Contents) Records() [][]byte { return c.records }

// TruncatedBytes returns the size of the torn tail that Open removed.
func (c Contents) TruncatedBytes() int64 { return c.truncatedBytes }

// Journal is an open journal. It is not safe for concurrent use.
type Journal struct {
	folder string
	file   *os.File
	size   int64
	// needsTruncation is set while the file may contain bytes of a failed append
	// after the first size bytes.
	needsTruncation bool
}

// Open opens the journal in the folder, which must exist, and returns the
// folder's contents. An empty folder yields empty contents.
func Open(folder string) (*Journal, Contents, error) {
	snapshot, generation, err := readSnapshot(filepath.Join(folder, snapshotName))
	if err != nil {
		return nil, Contents{}, err
	}
	path := journalPath(folder, generation)
	data, err := os.ReadFile(path)
	if err != nil && !os.IsNotExist(err) {
		return nil, Contents{}, errors.Wrap(err, "read journal")
	}
	records, intact, err := decodeFrames(data)
	if err != nil {
		return nil, Contents{}, errors.Wrapf(err, "journal %s", path)
	}
	file, err := openForAppend(path, intact)
	if err != nil {
		return nil, Contents{}, err
	}
	if err := syncFolder(folder); err != nil {
		return nil, Contents{}, err
	}
	j := &Journal{folder: folder, file: file, size: intact}
	return j, Contents{snapshot, records, int64(len(data)) - intact}, nil
}

// Size returns the size in bytes of the journal since its last snapshot.
func (j *Journal) Size() int64 { return j.size }

// Append writes the records and returns once they are synced. After an error
// it is unknown which bytes reached the disk. The caller may append the same
// records again: the remains of a failed append are truncated first.
func (j *Journal) Append(records [][]byte) error {
	buffer, err := encodeFrame(records)
	if err != nil {
		return err
	}
	if err := j.truncateFailedAppend(); err != nil {
		return err
	}
	j.needsTruncation = true
	if _, err := j.file.Write(buffer); err != nil {
		return errors.Wrap(err, "write journal")
	}
	if err := j.file.Sync(); err != nil {
		return errors.Wrap(err, "sync journal")
	}
	j.size += int64(len(buffer))
	j.needsTruncation = false
	return nil
}

// truncateFailedAppend removes the bytes that a failed append may have
// written.
func (j *Journal) truncateFailedAppend() error {
	if !j.needsTruncation {
		return nil
	}
	if err := j.file.Truncate(j.size); err != nil {
		return errors.Wrap(err, "truncate failed append")
	}
	if _, err := j.file.Seek(j.size, io.SeekStart); err != nil {
		return errors.Wrap(err, "seek to end of journal")
	}
	return errors.Wrap(j.file.Sync(), "sync journal")
}

// Compact replaces the contents of the folder by the snapshot and the records
// that follow it. A crash at any point leaves either the old contents or the
// new ones.
func (j *Journal) Compact(snapshot []byte, records [][]byte) error {
	_, generation, err := readSnapshot(filepath.Join(j.folder, snapshotName))
	if err != nil {
		return err
	}
	next := generation + 1
	buffer, err := encodeFrame(records)
	if err != nil {
		return err
	}
	if err := writeAndSync(journalPath(j.folder, next), buffer); err != nil {
		return err
	}
	if err := j.replaceSnapshot(next, snapshot); err != nil {
		return err
	}
	file, err := openForAppend(journalPath(j.folder, next), int64(len(buffer)))
	if err != nil {
		return err
	}
	old := j.file
	j.file, j.size, j.needsTruncation = file, int64(len(buffer)), false
	if err := old.Close(); err != nil {
		return errors.Wrap(err, "close old journal")
	}
	err = os.Remove(journalPath(j.folder, generation))
	return errors.Wrap(err, "remove old journal")
}

// Close closes the journal file.
func (j *Journal) Close() error { return errors.Wrap(j.file.Close(), "close journal") }

// replaceSnapshot atomically replaces the snapshot file. Because the file holds
// the generation number, this also switches to the journal of that generation.
func (j *Journal) replaceSnapshot(generation uint64, snapshot []byte) error {
	number := binary.LittleEndian.AppendUint64(nil, generation)
	buffer, err := encodeFrame([][]byte{number, snapshot})
	if err != nil {
		return err
	}
	return ReplaceFile(filepath.Join(j.folder, snapshotName), buffer)
}

// ReplaceFile atomically replaces the file at path: it writes and syncs a
// temporary file and renames it. A crash at any point leaves either the old
// contents or the new ones.
func ReplaceFile(path string, data []byte) error {
	temporary := path + ".new"
	if err := writeAndSync(temporary, data); err != nil {
		return err
	}
	if err := os.Rename(temporary, path); err != nil {
		return errors.Wrap(err, "replace file")
	}
	return syncFolder(filepath.Dir(path))
}

func journalPath(folder string, generation uint64) string {
	return filepath.Join(folder, fmt.Sprintf("%s.%d", journalName, generation))
}

func readSnapshot(path string) ([]byte, uint64, error) {
	data, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, errors.Wrap(err, "read snapshot")
	}
	payload, rest, ok := decodeFrame(data)
	if !ok || len(rest) != 0 {
		return nil, 0, errors.Errorf("snapshot %s is corrupt: treat the disk of this VM as lost, so that the VM rejoins as a new member", path)
	}
	parts, err := decodePayload(payload)
	if err != nil || len(parts) != 2 || len(parts[0]) != 8 {
		return nil, 0, errors.Errorf("snapshot %s has a valid checksum but unknown contents: it may have been written by another version or program", path)
	}
	return parts[1], binary.LittleEndian.Uint64(parts[0]), nil
}

func openForAppend(path string, size int64) (*os.File, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY, fileMode)
	if err != nil {
		return nil, errors.Wrap(err, "open journal")
	}
	if err := file.Truncate(size); err != nil {
		return nil, errors.Wrap(err, "truncate torn tail of journal")
	}
	if _, err := file.Seek(size, io.SeekStart); err != nil {
		return nil, errors.Wrap(err, "seek to end of journal")
	}
	return file, errors.Wrap(file.Sync(), "sync journal")
}

func writeAndSync(path string, data []byte) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return errors.Wrap(err, "create file")
	}
	if _, err := file.Write(data); err != nil {
		return errors.Wrap(err, "write file")
	}
	if err := file.Sync(); err != nil {
		return errors.Wrap(err, "sync file")
	}
	return errors.Wrap(file.Close(), "close file")
}

func syncFolder(folder string) error {
	dir, err := os.Open(folder)
	if err != nil {
		return errors.Wrap(err, "open folder")
	}
	defer func() { _ = dir.Close() }() // opened for reading: a close error loses no data
	return errors.Wrap(dir.Sync(), "sync folder")
}

// decodeFrames returns the records of the intact frames and the number of
// bytes that those frames occupy.
func decodeFrames(data []byte) ([][]byte, int64, error) {
	var records [][]byte
	rest := data
	for len(rest) > 0 {
		payload, after, ok := decodeFrame(rest)
		if !ok {
			break
		}
		decoded, err := decodePayload(payload)
		if err != nil {
			return nil, 0, err
		}
		records = append(records, decoded...)
		rest = after
	}
	intact := len(data) - len(rest)
	if offset, found := findFrame(rest); found {
		return nil, 0, errors.Errorf(
			"corrupt frame at byte %d is followed by an intact frame at byte %d: treat the disk of this VM as lost, so that the VM rejoins as a new member",
			intact, intact+offset)
	}
	return records, int64(intact), nil
}

// findFrame searches for an intact frame after the start of data, where a
// corrupt frame begins, and returns its offset.
func findFrame(data []byte) (int, bool) {
	for offset := 1; offset+headerBytes < len(data); offset++ {
		if _, _, ok := decodeFrame(data[offset:]); ok {
			return offset, true
		}
	}
	return 0, false
}

// decodeFrame splits the first frame off data. A frame of length zero is
// invalid, so that a tail of zero bytes counts as torn.
func decodeFrame(data []byte) (payload, rest []byte, ok bool) {
	if len(data) < headerBytes {
		return nil, nil, false
	}
	length := binary.LittleEndian.Uint32(data)
	if length == 0 || length > maxFrameBytes || int64(length) > int64(len(data)-headerBytes) {
		return nil, nil, false
	}
	payload = data[headerBytes : headerBytes+length]
	if crc32.Checksum(payload, crcTable) != binary.LittleEndian.Uint32(data[4:]) {
		return nil, nil, false
	}
	return payload, data[headerBytes+length:], true
}

// encodeFrame encodes the records, each preceded by its length, as one frame
// with a checksum.
func encodeFrame(records [][]byte) ([]byte, error) {
	if len(records) == 0 {
		return nil, nil
	}
	buffer := make([]byte, headerBytes)
	for _, record := range records {
		buffer = binary.LittleEndian.AppendUint32(buffer, uint32(len(record)))
		buffer = append(buffer, record...)
	}
	payload := buffer[headerBytes:]
	if len(payload) > maxFrameBytes {
		return nil, errors.Errorf("a frame of %d bytes exceeds the limit of %d", len(payload), maxFrameBytes)
	}
	binary.LittleEndian.PutUint32(buffer, uint32(len(payload)))
	binary.LittleEndian.PutUint32(buffer[4:], crc32.Checksum(payload, crcTable))
	return buffer, nil
}

// decodePayload returns the records of a frame payload. It is the inverse of
// encodeFrame.
func decodePayload(payload []byte) ([][]byte, error) {
	var records [][]byte
	for len(payload) > 0 {
		if len(payload) < 4 || uint64(binary.LittleEndian.Uint32(payload)) > uint64(len(payload)-4) {
			return nil, errors.New("a frame has a valid checksum but unknown contents: it may have been written by another version or program")
		}
		length := binary.LittleEndian.Uint32(payload)
		records = append(records, bytes.Clone(payload[4:4+length]))
		payload = payload[4+length:]
	}
	return records, nil
}
