package operator

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/go-faster/errors"

	"gypsumdock/pkg/state/model"
)

// baseFile is the file in a folder that records the region and the revision as
// which the folder was last applied. With it, apply refuses to silently undo
// what another operator has applied since then.
const baseFile = ".gypsumctl-base"

// baseMode is the permission of the base file.
const baseMode = 0o644

// readBase returns the revision in the folder's base file, or nil when the
// folder has none.
func readBase(dir, region string) (*model.Revision, error) {
	path := filepath.Join(dir, baseFile)
	data, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	recordedRegion, text, _ := strings.Cut(strings.TrimSpace(string(data)), " ")
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return nil, &usageError{text: path + ": expected a region and a revision, separated by a space"}
	}
	if recordedRegion != region {
		return nil, &usageError{text: fmt.Sprintf("%s: the folder belongs to region %s, not %s", path, recordedRegion, region)}
	}
	revision := model.Revision(number)
	return &revision, nil
}

// writeBase records in the folder's base file that it was applied as revision.
func writeBase(dir, region string, revision model.Revision) error {
	text := fmt.Sprintf("%s %d\n", region, revision)
	return os.WriteFile(filepath.Join(dir, baseFile), []byte(text), baseMode)
}
