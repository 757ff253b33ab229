package cluster

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"sync"

	"github.com/go-faster/errors"
)

// Binaries are the paths of the programs.
type Binaries struct {
	Gypsumdock string
	Gypsumctl  string
	Upstreamd  string
	Platformd  string
	dir        string
}

// Remove deletes the programs.
func (b Binaries) Remove() error { return os.RemoveAll(b.dir) }

// Build compiles all programs into a new directory.
func Build(ctx context.Context) (Binaries, error) {
	dir, err := os.MkdirTemp("", "gypsumdock-bin-")
	if err != nil {
		return Binaries{}, err
	}
	build := exec.CommandContext(ctx, "go", "build", "-o", dir+string(filepath.Separator),
		"gypsumdock/cmd/gypsumdock", "gypsumdock/cmd/gypsumctl",
		"gypsumdock/testbench/cmd/upstreamd", "gypsumdock/testbench/cmd/platformd")
	if output, err := build.CombinedOutput(); err != nil {
		return Binaries{}, errors.Wrapf(err, "go build: %s", output)
	}
	return Binaries{
		Gypsumdock: filepath.Join(dir, "gypsumdock"),
		Gypsumctl:  filepath.Join(dir, "gypsumctl"),
		Upstreamd:  filepath.Join(dir, "upstreamd"),
		Platformd:  filepath.Join(dir, "platformd"),
		dir:        dir,
	}, nil
}

// BuildOnce compiles the programs once for the calling process.
var BuildOnce = sync.OnceValues(func() (Binaries, error) { return Build(context.Background()) })
