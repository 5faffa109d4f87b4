package panics

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// toolPackages lists packages whose processes serve no callers, and those in which a
// goroutine cannot use this package.
var toolPackages = []string{"standin", "loadtest", "localfleet", "peertest", "platformtest", "logging", "panics"}

// TestGoroutinesContainPanics checks that each goroutine and timer that the code of an
// instance starts contains its panics: a panic that reaches the top of a goroutine ends the
// process.
func TestGoroutinesContainPanics(t *testing.T) {
	files := token.NewFileSet()
	for _, root := range []string{"..", "../../platform"} {
		err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || isTool(path) {
				return err
			}
			file, err := parser.ParseFile(files, path, nil, 0)
			if err != nil {
				return err
			}
			for _, started := range startedFunctions(file) {
				if !contains(file, started) {
					t.Errorf("%s: a panic here would end the process", files.Position(started.Pos()))
				}
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}

func isTool(path string) bool {
	return slices.ContainsFunc(strings.Split(filepath.ToSlash(path), "/"), func(part string) bool {
		return slices.Contains(toolPackages, part)
	})
}

// startedFunctions returns the functions that a file starts with a go statement,
// WaitGroup.Go or time.AfterFunc.
func startedFunctions(file *ast.File) []ast.Expr {
	var all []ast.Expr
	ast.Inspect(file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.GoStmt:
			all = append(all, n.Call)
		case *ast.CallExpr:
			f, ok := n.Fun.(*ast.SelectorExpr)
			if !ok {
				break
			}
			receiver, _ := f.X.(*ast.Ident)
			switch {
			case f.Sel.Name == "Go" && len(n.Args) == 1:
				all = append(all, n.Args[0])
			case f.Sel.Name == "AfterFunc" && receiver != nil && receiver.Name == "time":
				all = append(all, n.Args[1])
			}
		}
		return true
	})
	return all
}

// contains reports whether a started function contains its panics: it is a function of
// package panics, or uses one directly, or is a function of the same file that does.
func contains(file *ast.File, started ast.Expr) bool {
	if uses(started) {
		return true
	}
	name := ""
	if call, ok := started.(*ast.CallExpr); ok {
		started = call.Fun
	}
	switch f := started.(type) {
	case *ast.SelectorExpr:
		name = f.Sel.Name
	case *ast.Ident:
		name = f.Name
	case *ast.FuncLit:
		// A literal that only calls a function of the file.
		if len(f.Body.List) == 1 {
			if s, ok := f.Body.List[0].(*ast.ExprStmt); ok {
				return contains(file, s.X)
			}
		}
		return false
	}
	for _, d := range file.Decls {
		if f, ok := d.(*ast.FuncDecl); ok && f.Name.Name == name && uses(f.Body) {
			return true
		}
	}
	return false
}

// uses reports whether a function of package panics is called within a node.
func uses(n ast.Node) bool {
	found := false
	ast.Inspect(n, func(n ast.Node) bool {
		if s, ok := n.(*ast.SelectorExpr); ok {
			if x, ok := s.X.(*ast.Ident); ok && x.Name == "panics" {
				found = true
			}
		}
		return !found
	})
	return found
}
