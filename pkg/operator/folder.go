package operator

import (
	"os"
	"path/filepath"
	"strings"

	"gypsumdock/pkg/state/bundle"
)

// folderSuffix is the suffix of the configuration files in a folder.
const folderSuffix = ".toml"

// ReadFolder merges the *.toml files of a directory into a bundle. Its error is
// an InvalidFilesError.
func ReadFolder(dir string) (*bundle.Bundle, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, &InvalidFilesError{Problems: []bundle.Problem{{File: dir, Reason: err.Error()}}}
	}
	var files []bundle.File
	var problems []bundle.Problem
	for _, entry := range entries {
		if entry.IsDir() || !strings.HasSuffix(entry.Name(), folderSuffix) {
			continue
		}
		path := filepath.Join(dir, entry.Name())
		data, err := os.ReadFile(path)
		if err != nil {
			problems = append(problems, bundle.Problem{File: path, Reason: err.Error()})
			continue
		}
		files = append(files, bundle.File{Name: path, Data: data})
	}
	if len(files) == 0 && len(problems) == 0 {
		problems = append(problems, bundle.Problem{File: dir, Reason: "must contain at least one *" + folderSuffix + " file"})
	}
	merged, found := bundle.Merge(files)
	if problems = append(problems, found...); len(problems) > 0 {
		return nil, &InvalidFilesError{Problems: problems}
	}
	return merged, nil
}
