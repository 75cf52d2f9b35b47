package certs

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"
)

func TestWrite(t *testing.T) {
	directory := t.TempDir()
	var output bytes.Buffer
	if err := Write(&output, directory, time.Hour, []string{"kingston/a/node/n1", "kingston/a/operator/someone"}); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"node-n1/cert.pem", "node-n1/key.pem", "operator-someone/ca.pem"} {
		if _, err := os.Stat(filepath.Join(directory, name)); err != nil {
			t.Error(err)
		}
	}
	for _, holders := range [][]string{nil, {"kingston/a/n1"}, {"kingston/a/king/n1"}, {"/a/node/n1"}} {
		if err := Write(&output, directory, time.Hour, holders); err == nil {
			t.Errorf("%q was accepted", holders)
		}
	}
}
