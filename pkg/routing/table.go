package routing

import (
	"slices"
	"strings"
	"time"

	"github.com/levertide/levertide/pkg/model"
	"github.com/levertide/levertide/pkg/snapshot"
)

// Table finds routes. It is immutable and safe for concurrent use.
type Table struct {
	version  uint64
	exact    map[string]*pathTable
	suffixes map[string]*pathTable // keys begin with a dot
	anyHost  *pathTable
	routes   map[string]*Route
	tenants  tenantIndex
	// longestTimeout is the longest timeout of any route in scope.
	longestTimeout time.Duration
}

// Compile builds the table of a snapshot. Errors are of type ErrInvalidRoute or
// ErrAmbiguousRoute.
func Compile(source *snapshot.Snapshot) (*Table, error) {
	table := &Table{
		version:  source.Version(),
		exact:    map[string]*pathTable{},
		suffixes: map[string]*pathTable{},
		anyHost:  newPathTable(),
		routes:   map[string]*Route{},
	}
	for name, config := range source.Routes() {
		route, err := newRoute(name, config, source)
		if err != nil {
			return nil, err
		}
		if err := table.add(route); err != nil {
			return nil, err
		}
		table.routes[name] = route
		table.longestTimeout = max(table.longestTimeout, route.Timeout)
	}
	table.tenants = indexTenants(source.Tenants())
	for name, match := range source.OutOfScope() {
		if err := table.add(&Route{Name: name, Config: &model.Route{Match: match}, outOfScope: true}); err != nil {
			return nil, err
		}
	}
	return table, nil
}

// Version returns the version of the snapshot that the table was compiled from.
func (t *Table) Version() uint64 { return t.version }

// Len returns the number of routes in scope.
func (t *Table) Len() int { return len(t.routes) }

// Route returns the route in scope with the given name.
func (t *Table) Route(name string) (*Route, bool) {
	route, ok := t.routes[name]
	return route, ok
}

// LongestTimeout returns the longest timeout of the routes to a service; zero when there
// is no such route.
func (t *Table) LongestTimeout(service string) time.Duration {
	var longest time.Duration
	for _, route := range t.routes {
		leadsToService := route.ServiceName == service
		for _, backend := range route.Config.Backends {
			leadsToService = leadsToService || backend.Service == service
		}
		if leadsToService {
			longest = max(longest, route.Timeout)
		}
	}
	return longest
}

// LongestCall returns the longest timeout of any route in scope.
func (t *Table) LongestCall() time.Duration { return t.longestTimeout }

func (t *Table) add(route *Route) error {
	paths, err := t.pathTableOf(route)
	if err != nil {
		return err
	}
	entry, err := paths.methodTableOf(route)
	if err != nil {
		return err
	}
	if existing := entry.add(route); existing != nil {
		return ErrAmbiguousRoute.New("routes %q and %q match the same requests", existing.Name, route.Name)
	}
	return nil
}

func (t *Table) pathTableOf(route *Route) (*pathTable, error) {
	host := route.Config.Match.CanonicalHost()
	switch {
	case host == model.AnyHost:
		return t.anyHost, nil
	case strings.HasPrefix(host, model.AnySubdomain) && validName(host[len(model.AnySubdomain):]):
		return pathTableFor(t.suffixes, host[len(model.AnyHost):]), nil
	case validName(host):
		return pathTableFor(t.exact, host), nil
	default:
		return nil, ErrInvalidRoute.New("route %q has no valid host", route.Name)
	}
}

func validName(host string) bool {
	return host != "" && len(host) <= maximumHostLength && !strings.Contains(host, "*")
}

func pathTableFor(tables map[string]*pathTable, key string) *pathTable {
	table, ok := tables[key]
	if !ok {
		table = newPathTable()
		tables[key] = table
	}
	return table
}

// pathTable holds the routes of one host.
type pathTable struct {
	exact  map[string]*methodTable
	prefix prefixNode
}

// prefixNode is a node in the trie of a host's path prefixes, keyed by path segment.
type prefixNode struct {
	children map[string]*prefixNode
	// methods takes the path of the node and those below it, below only the latter.
	methods, below methodTable
}

func newPathTable() *pathTable {
	return &pathTable{exact: map[string]*methodTable{}}
}

func (p *pathTable) methodTableOf(route *Route) (*methodTable, error) {
	match := route.Config.Match
	switch {
	case match.Path != "" && match.PathPrefix == "" && match.PathStart == "" && match.Path[0] == '/':
		return p.exactEntry(match.Path), nil
	case match.PathPrefix != "" && match.Path == "" && match.PathStart == "" && match.PathPrefix[0] == '/':
		return &p.prefixNode(match.CanonicalPrefix()).methods, nil
	case validStart(match.PathStart) && match.Path == "" && match.PathPrefix == "":
		return &p.prefixNode(strings.TrimSuffix(match.PathStart, "/")).below, nil
	default:
		return nil, ErrInvalidRoute.New("route %q must have one of a path, a path prefix and a path start; each must begin with a slash, and a start end with one", route.Name)
	}
}

func validStart(start string) bool {
	return strings.HasPrefix(start, "/") && strings.HasSuffix(start, "/")
}

func (p *pathTable) exactEntry(path string) *methodTable {
	entry, ok := p.exact[path]
	if !ok {
		entry = &methodTable{}
		p.exact[path] = entry
	}
	return entry
}

// prefixNode returns the node of a prefix without a slash at its end.
func (p *pathTable) prefixNode(prefix string) *prefixNode {
	node := &p.prefix
	if prefix == "" {
		return node
	}
	for segment := range strings.SplitSeq(prefix[1:], "/") {
		node = node.child(segment)
	}
	return node
}

func (n *prefixNode) child(segment string) *prefixNode {
	if n.children == nil {
		n.children = map[string]*prefixNode{}
	}
	child, ok := n.children[segment]
	if !ok {
		child = &prefixNode{}
		n.children[segment] = child
	}
	return child
}

// methodTable holds the routes of one host and path.
type methodTable struct {
	listed    []listedMethod
	anyMethod *Route
	// hasInScope reports whether any of the routes is in scope.
	hasInScope bool
}

type listedMethod struct {
	method string
	route  *Route
}

// add adds a route, or returns the route that already matches the same requests.
func (m *methodTable) add(route *Route) *Route {
	m.hasInScope = m.hasInScope || !route.outOfScope
	methods := slices.Clone(route.Config.Match.Methods)
	if len(methods) == 0 {
		if m.anyMethod != nil {
			return m.anyMethod
		}
		m.anyMethod = route
		return nil
	}
	slices.Sort(methods)
	for _, method := range slices.Compact(methods) {
		if existing := m.listedFor(method); existing != nil {
			return existing
		}
		m.listed = append(m.listed, listedMethod{method: method, route: route})
	}
	return nil
}

func (m *methodTable) listedFor(method string) *Route {
	for i := range m.listed {
		if m.listed[i].method == method {
			return m.listed[i].route
		}
	}
	return nil
}

func (m *methodTable) find(method string) *Route {
	if route := m.listedFor(method); route != nil {
		return route
	}
	return m.anyMethod
}

func (m *methodTable) empty() bool { return m.anyMethod == nil && len(m.listed) == 0 }

func (m *methodTable) collect(methods map[string]struct{}) {
	for _, listed := range m.listed {
		if !listed.route.outOfScope {
			methods[listed.method] = struct{}{}
		}
	}
}
