package imports_test

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestImports(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "imports")
}

// module is the import path of the module with a slash, and root its directory
// relative to this package.
const (
	module = "gypsumdock/"
	root   = "../.."
)

// layer is a layer of packages, ordered from low to high. A package may import
// only packages of its own layer or of lower ones.
type layer int

const (
	layerUnknown layer = iota
	layerModel
	layerLeaf
	layerState
	layerCoordination
	layerProtocol
	layerTransport
	layerCommand
)

// layers maps path prefixes of packages within the module to layers. The first
// matching prefix applies, so longer prefixes come first.
var layers = []struct {
	prefix string
	layer  layer
}{
	{"pkg/state/model", layerModel},
	{"pkg/verdict", layerLeaf},
	{"pkg/tomlbind", layerLeaf},
	{"pkg/settings", layerLeaf},
	{"pkg/telemetry", layerLeaf},
	{"pkg/events", layerLeaf},
	{"pkg/imports", layerLeaf},
	{"pkg/state", layerState},
	{"pkg/coordination", layerCoordination},
	{"pkg/protocol", layerProtocol},
	{"pkg/transport", layerTransport},
	{"pkg/operator", layerCommand},
	{"platform", layerTransport},
	{"pkg/instance", layerCommand},
	{"cmd", layerCommand},
}

// layerOf returns the layer of a package by its path within the module.
func layerOf(path string) layer {
	for _, l := range layers {
		if path == l.prefix || strings.HasPrefix(path, l.prefix+"/") {
			return l.layer
		}
	}
	return layerUnknown
}

// forbidden are packages of the standard library that the state machines must
// not import, so that they depend only on their inputs.
var forbidden = []string{"net", "net/http", "os", "sync", "sync/atomic", "math/rand", "math/rand/v2", "crypto/rand", "context"}

// violation describes what is wrong with an import, or returns "" if it is
// allowed.
func violation(from, imported string) string {
	fromLayer := layerOf(from)
	if fromLayer == layerUnknown {
		return from + " is in no layer"
	}
	path, isOwnModule := strings.CutPrefix(imported, module)
	switch {
	case isOwnModule && path == adapter && !mayUseAdapter(from):
		return from + " imports the adapter of the users' platform"
	case isOwnModule && layerOf(path) == layerUnknown:
		return path + " is in no layer"
	case isOwnModule && layerOf(path) > fromLayer:
		return from + " imports " + path + " of a higher layer"
	case !isOwnModule && (fromLayer == layerState || fromLayer == layerModel):
		for _, name := range forbidden {
			if imported == name {
				return from + " imports " + imported + ", which makes a state machine nondeterministic"
			}
		}
	}
	return ""
}

// adapter is the package that is specific to the users' platform. Only packages
// that assemble a process may import it.
const adapter = "platform"

// mayUseAdapter reports whether a package may import the adapter.
func mayUseAdapter(from string) bool {
	return strings.HasPrefix(from, "cmd/") || from == "pkg/instance" || strings.HasPrefix(from, "pkg/instance/")
}

// violations checks the imports of all Go files, test files excepted. It returns
// the violations and the number of files read.
func violations() (found []string, files int) {
	visit := func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		files++
		parsed, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		from, err := filepath.Rel(root, filepath.Dir(path))
		if err != nil {
			return err
		}
		for _, spec := range parsed.Imports {
			imported, err := strconv.Unquote(spec.Path.Value)
			if err != nil {
				return err
			}
			if text := violation(filepath.ToSlash(from), imported); text != "" {
				found = append(found, text)
			}
		}
		return nil
	}
	for _, dir := range []string{"pkg", "cmd", "platform"} {
		Expect(filepath.WalkDir(filepath.Join(root, dir), visit)).To(Succeed())
	}
	return found, files
}

var _ = Describe("imports", func() {
	It("go only from higher to lower layers", func() {
		found, files := violations()
		Expect(files).To(BeNumerically(">", 0))
		Expect(found).To(BeEmpty())
	})

	DescribeTable("that are not allowed are reported",
		func(from, imported string) {
			Expect(violation(from, imported)).NotTo(BeEmpty())
		},
		Entry("state to coordination", "pkg/state/failover", module+"pkg/coordination/platform"),
		Entry("coordination to protocol", "pkg/coordination/control", module+"pkg/protocol/meshpb"),
		Entry("protocol to transport", "pkg/protocol/mesh", module+"pkg/transport/callers"),
		Entry("leaf to state", "pkg/events", module+"pkg/state/failover"),
		Entry("model to leaf", "pkg/state/model", module+"pkg/verdict"),
		Entry("the statement path to the adapter", "pkg/transport/textfront", module+"platform"),
		Entry("the operators' command to the adapter", "pkg/operator", module+"platform"),
		Entry("a package without a layer", "pkg/other", "fmt"),
		Entry("a socket in state", "pkg/state/grants", "net"),
	)
})
