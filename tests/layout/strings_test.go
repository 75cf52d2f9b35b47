package layout

import (
	"go/ast"
	"go/token"
	"strconv"
)

// stringsOf returns the string literals of a file.
func stringsOf(file *ast.File) []string {
	var texts []string
	ast.Inspect(file, func(node ast.Node) bool {
		if literal, ok := node.(*ast.BasicLit); ok && literal.Kind == token.STRING {
			if text, err := strconv.Unquote(literal.Value); err == nil {
				texts = append(texts, text)
			}
		}
		return true
	})
	return texts
}
