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

const (
	module = "gypsumdock/"
	root   = "../.."
)

// layer orders packages; a package imports only packages of its own layer or
// of lower ones.
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

// layers maps a package's path within the module to its layer; the longest
// prefix counts.
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

func layerOf(path string) layer {
	for _, l := range layers {
		if path == l.prefix || strings.HasPrefix(path, l.prefix+"/") {
			return l.layer
		}
	}
	return layerUnknown
}

// forbidden are packages of the standard library that make a state machine
// depend on more than its inputs.
var forbidden = []string{"net", "net/http", "os", "sync", "sync/atomic", "math/rand", "math/rand/v2", "crypto/rand", "context"}

// offence says what is wrong with an import, or "".
func offence(from, imported string) string {
	own := layerOf(from)
	if own == layerUnknown {
		return from + " is in no layer"
	}
	inner, ours := strings.CutPrefix(imported, module)
	switch {
	case ours && inner == adapter && !mayUseAdapter(from):
		return from + " imports the adapter of the users' platform"
	case ours && layerOf(inner) == layerUnknown:
		return inner + " is in no layer"
	case ours && layerOf(inner) > own:
		return from + " imports " + inner + " of a higher layer"
	case !ours && (own == layerState || own == layerModel):
		for _, name := range forbidden {
			if imported == name {
				return from + " imports " + imported + ", so that it is not deterministic"
			}
		}
	}
	return ""
}

// adapter holds the names of the users' platform. Only what puts a process
// together may know them.
const adapter = "platform"

func mayUseAdapter(from string) bool {
	return strings.HasPrefix(from, "cmd/") || from == "pkg/instance" || strings.HasPrefix(from, "pkg/instance/")
}

// offences reads the imports of all files, without those of tests.
func offences() (found []string, files int) {
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
			if text := offence(filepath.ToSlash(from), imported); text != "" {
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
	It("go from transport to protocol to coordination to state", func() {
		found, files := offences()
		Expect(files).To(BeNumerically(">", 0))
		Expect(found).To(BeEmpty())
	})

	DescribeTable("the other way are found",
		func(from, imported string) {
			Expect(offence(from, imported)).NotTo(BeEmpty())
		},
		Entry("state to coordination", "pkg/state/failover", module+"pkg/coordination/platform"),
		Entry("coordination to protocol", "pkg/coordination/control", module+"pkg/protocol/meshpb"),
		Entry("protocol to transport", "pkg/protocol/mesh", module+"pkg/transport/callers"),
		Entry("leaf to state", "pkg/events", module+"pkg/state/failover"),
		Entry("model to leaf", "pkg/state/model", module+"pkg/verdict"),
		Entry("the path of statements to the adapter", "pkg/transport/textfront", module+"platform"),
		Entry("the operators' command to the adapter", "pkg/operator", module+"platform"),
		Entry("a package without a layer", "pkg/other", "fmt"),
		Entry("a socket in state", "pkg/state/grants", "net"),
	)
})
