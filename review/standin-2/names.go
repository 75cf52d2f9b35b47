package main

import (
	_ "embed"
	"encoding/json"
)

// The names of the platform stand in a data file: sources outside the adapter must not hold them.
//
//go:embed names.json
var namesFile []byte

var names = func() map[string]string {
	read := map[string]string{}
	if err := json.Unmarshal(namesFile, &read); err != nil {
		panic(err)
	}
	return read
}()
