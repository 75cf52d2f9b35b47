package slotqueue

import (
	"testing"

	"github.com/levertide/levertide/pkg/internal/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }
