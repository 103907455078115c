package util

import (
	"runtime/debug"

	"github.com/rs/zerolog"
)

// A Build identifies the code that a process runs.
type Build struct {
	// Version is the version of all programs of this repository.
	Version string
	// Revision is the revision in version control; empty if the build did not record it.
	Revision string
	// IsModified is true if the code differed from the revision when it was built.
	IsModified bool
}

// ReadBuild returns the build of this process.
func ReadBuild() Build {
	b := Build{
		Version: Version,
	}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return b
	}
	return b.withSettings(info.Settings)
}

// withSettings returns b with what the build recorded about version control.
func (b Build) withSettings(settings []debug.BuildSetting) Build {
	for _, s := range settings {
		switch s.Key {
		case "vcs.revision":
			b.Revision = s.Value
		case "vcs.modified":
			b.IsModified = s.Value == "true"
		}
	}
	return b
}

// MarshalZerologObject adds the version, and the revision if it is known, to a log line.
func (b Build) MarshalZerologObject(line *zerolog.Event) {
	line.Str("version", b.Version)
	if b.Revision != "" {
		line.Str("revision", b.Revision).Bool("modified", b.IsModified)
	}
}
