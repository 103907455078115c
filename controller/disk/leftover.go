package disk

import (
	"errors"
	"os"
	"path/filepath"
)

// leftoverPatterns match the files that a process leaves in its data folder if it
// is killed while it writes them.
var leftoverPatterns = []string{
	"." + snapshotFile + "*",
	"." + identityFile + "*",
	"." + formationFile + "*",
	"*.wal" + tempSuffix,
	receivedSnapshotFile,
}

// removeLeftovers removes incomplete files from a data folder, since they take up
// space.
func removeLeftovers(folder string) (err error) {
	for _, pattern := range leftoverPatterns {
		paths, globErr := filepath.Glob(filepath.Join(folder, pattern))
		err = errors.Join(err, globErr)
		for _, p := range paths {
			err = errors.Join(err, os.Remove(p))
		}
	}
	return err
}
