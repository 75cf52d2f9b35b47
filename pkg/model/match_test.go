package model_test

import (
	"testing"

	"github.com/levertide/levertide/pkg/model"
)

func TestOverlaps(t *testing.T) {
	prefix := func(host, prefix string) model.Match { return model.Match{Host: host, PathPrefix: prefix} }
	start := func(path string) model.Match { return model.Match{Host: "*", PathStart: path} }
	exact := func(host, path string) model.Match { return model.Match{Host: host, Path: path} }
	for _, test := range []struct {
		one, two model.Match
		want     bool
	}{
		{prefix("*", "/"), prefix("a.example", "/x"), true},
		{prefix("*.example", "/"), prefix("A.Example.", "/x"), true},
		{prefix("*.example", "/"), prefix("*.a.example", "/x"), true},
		{prefix("*.example", "/"), prefix("example", "/"), false},
		{prefix("a.example", "/"), prefix("b.example", "/"), false},
		{prefix("*.b", "/"), prefix("*.c", "/"), false},
		{prefix("*", "/a"), prefix("*", "/a/"), true},
		{prefix("*", "/a"), prefix("*", "/ab"), false},
		{prefix("*", "/a/b"), exact("*", "/a/b/c"), true},
		{prefix("*", "/a/b"), exact("*", "/a"), false},
		{exact("*", "/a"), exact("*", "/a"), true},
		{exact("*", "/a"), exact("*", "/a/"), false},
		{start("/a/"), exact("*", "/a"), false},
		{start("/a/"), exact("*", "/a/"), true},
		{start("/a/"), start("/a/b/"), true},
		{start("/a/"), start("/ab/"), false},
		{start("/a/"), prefix("*", "/a"), true},
		{start("/a/"), prefix("*", "/a/b"), true},
		{start("/a/b/"), prefix("*", "/a"), true},
		{start("/a/"), prefix("*", "/ab"), false},
		{start("/"), prefix("*", "/"), true},
	} {
		if got, back := test.one.Overlaps(test.two), test.two.Overlaps(test.one); got != test.want || back != test.want {
			t.Errorf("%v and %v: %v, %v the other way round, want %v", test.one, test.two, got, back, test.want)
		}
	}
}
