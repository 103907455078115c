package disk

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"

	"github.com/plantainladder/plantainladder/codec"
	"github.com/plantainladder/plantainladder/formation"
	"github.com/plantainladder/plantainladder/util"
)

const formationFile = "formation"

// SaveFormation durably replaces the state of the agreement on the first group. It writes
// nothing if it has stored the same state before.
func (f *Folder) SaveFormation(s formation.Stored) (err error) {
	defer util.Annotate(&err, "disk: save formation")
	body, err := codec.Marshal(s)
	if err != nil {
		return err
	}
	if f.savedFormation != nil && bytes.Equal(body, f.savedFormation) {
		return nil
	}
	f.savedFormation = nil
	if err = f.files.ReplaceFile(f.path, f.formationPath(), encodeFrame(body)); err != nil {
		return asFullError(err, nil)
	}
	if err = f.files.SyncFolder(f.path); err == nil {
		f.savedFormation = body
	}
	return err
}

// LoadFormation returns the state of the agreement on the first group, or false if
// there is none. It returns a *DamageError if the file is damaged.
func (f *Folder) LoadFormation() (s formation.Stored, ok bool, err error) {
	defer util.Annotate(&err, "disk: load formation")
	b, err := os.ReadFile(f.formationPath())
	if errors.Is(err, os.ErrNotExist) {
		return s, false, nil
	}
	if err != nil {
		return s, false, err
	}
	body, rest, isWhole := readFrame(b)
	if !isWhole || len(rest) > 0 {
		return s, false, &DamageError{
			Path: f.formationPath(),
		}
	}
	s, err = codec.Unmarshal[formation.Stored](body)
	return s, err == nil, err
}

func (f *Folder) formationPath() string {
	return filepath.Join(f.path, formationFile)
}
