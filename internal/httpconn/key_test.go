package httpconn

import (
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestKeyOfARequest(t *testing.T) {
	scheme := KeyScheme{Header: "Authorization", Scheme: "Token"}
	cases := []struct {
		values []string
		key    string
		rest   []string
	}{
		{nil, "", nil},
		{[]string{"Token k1"}, "k1", nil},
		{[]string{"token  k1 "}, "k1", nil},
		{[]string{"Token"}, "", nil},
		{[]string{"Token "}, "", nil},
		{[]string{"Tokenk1"}, "", nil},
		{[]string{"Token\tk1"}, "", nil},
		{[]string{""}, "", []string{""}},
		{[]string{"Basic k1"}, "", []string{"Basic k1"}},
		{[]string{"Token k1", "Token k2"}, "", nil},
		{[]string{"Basic b", "Token k2"}, "", []string{"Basic b"}},
		{[]string{", Token k1"}, "", nil},
		{[]string{"Basic b, Token k2"}, "", nil},
		{[]string{"Basic b,\ttoken\tk2"}, "", nil},
		{[]string{"Digest a=1, token=2"}, "", []string{"Digest a=1, token=2"}},
	}
	for _, c := range cases {
		header := http.Header{"X-Other": {"1"}}
		if c.values != nil {
			header["Authorization"] = c.values
		}
		if key, given := scheme.Read(header); key != c.key || given != (c.key != "") {
			t.Errorf("%q: key %q, %v", c.values, key, given)
		}
		scheme.Strip(header)
		if diff := cmp.Diff(c.rest, header["Authorization"]); diff != "" || header.Get("X-Other") != "1" {
			t.Errorf("%q: %s", c.values, diff)
		}
	}
}
