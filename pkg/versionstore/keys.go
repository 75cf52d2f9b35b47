package versionstore

import (
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"

	"github.com/levertide/levertide/pkg/model"
	"github.com/levertide/levertide/pkg/rollout"
)

// The parts of a key after the prefix.
const (
	headName          = "head"
	sweepName         = "sweep"
	versionDirectory  = "version/"
	resourceDirectory = "resource/"
)

// versionDigits is the zero-padded width of version numbers in keys, so that keys
// sort in numeric order.
const versionDigits = 20

func (v *VersionStore) headKey() string  { return v.config.Prefix + headName }
func (v *VersionStore) sweepKey() string { return v.config.Prefix + sweepName }

func (v *VersionStore) versionKey(version rollout.Version) string {
	return fmt.Sprintf("%s%s%0*d", v.config.Prefix, versionDirectory, versionDigits, version)
}

func (v *VersionStore) resourceKey(digest model.Digest) string {
	return v.config.Prefix + resourceDirectory + digest.String()
}

// versionOfKey parses the version number in a key below versionDirectory.
func (v *VersionStore) versionOfKey(key string) (rollout.Version, error) {
	text := strings.TrimPrefix(key, v.config.Prefix+versionDirectory)
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, ErrCorrupt.New("%s is not the key of a version record", key)
	}
	return version, nil
}

// parseDigest parses a hexadecimal digest.
func parseDigest(text string) (model.Digest, error) {
	var digest model.Digest
	if hex.DecodedLen(len(text)) != len(digest) {
		return digest, ErrCorrupt.New("%q is not a hexadecimal digest", text)
	}
	if _, err := hex.Decode(digest[:], []byte(text)); err != nil {
		return digest, ErrCorrupt.New("%q is not a hexadecimal digest", text)
	}
	return digest, nil
}
