package imports_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// walk calls visit for each parsed Go file under dir, test files excepted.
func walk(dir string, visit func(path string, file *ast.File)) {
	err := filepath.WalkDir(filepath.Join(root, dir), func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err == nil {
			visit(path, file)
		}
		return err
	})
	Expect(err).NotTo(HaveOccurred())
}

// declared returns the package variables in dir that are initialized by a call
// to one of the functions.
func declared(dir string, functions ...string) []string {
	var names []string
	walk(dir, func(_ string, file *ast.File) {
		ast.Inspect(file, func(node ast.Node) bool {
			spec, ok := node.(*ast.ValueSpec)
			if !ok || len(spec.Values) != 1 {
				return true
			}
			call, ok := spec.Values[0].(*ast.CallExpr)
			if !ok {
				return true
			}
			function, ok := call.Fun.(*ast.Ident)
			if ok && slices.Contains(functions, function.Name) {
				names = append(names, spec.Names[0].Name)
			}
			return true
		})
	})
	return names
}

// used returns the names of the package in dir that code refers to by a
// qualified identifier, that is, from outside the package.
func used(dir string) map[string]bool {
	names := map[string]bool{}
	for _, tree := range []string{"pkg", "cmd", "platform"} {
		walk(tree, func(_ string, file *ast.File) {
			ast.Inspect(file, func(node ast.Node) bool {
				selector, ok := node.(*ast.SelectorExpr)
				if !ok {
					return true
				}
				from, ok := selector.X.(*ast.Ident)
				if ok && from.Name == filepath.Base(dir) {
					names[selector.Sel.Name] = true
				}
				return true
			})
		})
	}
	return names
}

var _ = DescribeTable("every entry of a catalogue is used by other code",
	func(dir string, functions ...string) {
		all, usedNames := declared(dir, functions...), used(dir)
		Expect(all).NotTo(BeEmpty())
		for _, name := range all {
			Expect(usedNames).To(HaveKey(name))
		}
	},
	Entry("events", "pkg/events", "define"),
	Entry("metrics", "pkg/telemetry", "counter", "gauge", "histogram"),
)
