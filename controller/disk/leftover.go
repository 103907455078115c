package disk

import (
	"errors"
	"path/filepath"
)

// leftoverPatterns match the files that a process leaves in its data folder if it
// is killed while it writes them.
var leftoverPatterns = []string{
	"." + snapshotFile + "*",
	"." + identityFile + "*",
	"." + formationFile + "*",
	"*.wal" + tempSuffix,
	voteFileName + tempSuffix,
	receivedSnapshotFile,
}

// removeLeftovers removes incomplete files from a data folder, since they take up
// space.
func (f *Folder) removeLeftovers() (err error) {
	for _, pattern := range leftoverPatterns {
		paths, globErr := filepath.Glob(filepath.Join(f.path, pattern))
		err = errors.Join(err, globErr)
		for _, p := range paths {
			err = errors.Join(err, f.files.Remove(p))
		}
	}
	return err
}
