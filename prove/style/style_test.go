// Package style_test checks the rules of the code style that no linter checks.
package style_test

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const root = "../.."

func TestStyle(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "style")
}

type source struct {
	path string
	fset *token.FileSet
	file *ast.File
}

func sources() []source {
	var list []source
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") {
			return err
		}
		fset := token.NewFileSet()
		file, err := parser.ParseFile(fset, path, nil, parser.ParseComments)
		list = append(list, source{
			path: path,
			fset: fset,
			file: file,
		})
		return err
	})
	Expect(err).NotTo(HaveOccurred())
	return list
}

// literalViolations returns the positions of fields of struct literals that share a line
// with what precedes them.
func literalViolations(s source) []string {
	var violations []string
	ast.Inspect(s.file, func(n ast.Node) bool {
		lit, ok := n.(*ast.CompositeLit)
		if !ok {
			return true
		}
		if _, isMap := lit.Type.(*ast.MapType); isMap {
			return true
		}
		last := s.fset.Position(lit.Lbrace).Line
		for _, e := range lit.Elts {
			kv, keyed := e.(*ast.KeyValueExpr)
			if !keyed {
				return true
			}
			if _, isField := kv.Key.(*ast.Ident); !isField {
				return true
			}
			line := s.fset.Position(kv.Pos()).Line
			if line == last {
				violations = append(violations, s.fset.Position(kv.Pos()).String())
			}
			last = s.fset.Position(kv.End()).Line
		}
		return true
	})
	return violations
}

var _ = Describe("Style", func() {
	It("writes struct literals with one field a line", func() {
		var violations []string
		for _, s := range sources() {
			violations = append(violations, literalViolations(s)...)
		}
		Expect(violations).To(BeEmpty())
	})

	It("keeps files under 400 lines but for tests", func() {
		var violations []string
		for _, s := range sources() {
			lines := s.fset.Position(s.file.End()).Line
			if lines > 400 && !strings.HasSuffix(s.path, "_test.go") {
				violations = append(violations, fmt.Sprintf("%s: %d", s.path, lines))
			}
		}
		Expect(violations).To(BeEmpty())
	})

	It("keeps the soak under a tenth of the code", func() {
		soak, all := 0, 0
		for _, s := range sources() {
			lines := s.fset.Position(s.file.End()).Line
			all += lines
			if strings.Contains(s.path, "soak") {
				soak += lines
			}
		}
		Expect(soak*10).To(BeNumerically("<", all), "%d of %d lines", soak, all)
	})
})
