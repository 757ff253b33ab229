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

// baseFile is the file of a folder that keeps the revision that the folder was
// last applied as. It makes an apply refuse to undo, without a word, what
// another operator applied since then.
const baseFile = ".gypsumctl-base"

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
	name, text, _ := strings.Cut(strings.TrimSpace(string(data)), " ")
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return nil, &usageError{text: path + ": must hold a region and a revision"}
	}
	if name != region {
		return nil, &usageError{text: fmt.Sprintf("%s: the folder belongs to region %s, not %s", path, name, region)}
	}
	revision := model.Revision(number)
	return &revision, nil
}

func writeBase(dir, region string, revision model.Revision) error {
	text := fmt.Sprintf("%s %d\n", region, revision)
	return os.WriteFile(filepath.Join(dir, baseFile), []byte(text), baseMode)
}
