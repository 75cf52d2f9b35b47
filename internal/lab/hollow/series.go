package hollow

import "github.com/levertide/levertide/internal/control"

// series collects one node's control bytes second by second.
type series struct {
	last  uint64
	bytes []uint32
	roles Roles
}

// RoleDead stands in place of a role in a second at whose end the node did not run.
const RoleDead = 255

// tick adds the second that has just ended.
func (s *series) tick(traffic *control.Traffic, alive bool) {
	total := traffic.Total().Total()
	role := uint16(RoleDead)
	if alive {
		role = uint16(traffic.Role())
	}
	s.bytes = append(s.bytes, uint32(total-s.last))
	s.roles = append(s.roles, role)
	s.last = total
}

// take returns what was collected and starts anew.
func (s *series) take() (bytes []uint32, roles Roles) {
	bytes, roles = s.bytes, s.roles
	s.bytes, s.roles = nil, nil
	return bytes, roles
}
