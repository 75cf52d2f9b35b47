// Package routing finds the route for a request.
//
// Compile turns a snapshot into an immutable Table. Of all routes that match a
// request by host, path and method together, Match returns the most specific:
//
//  1. by host: an exact name, then the longest "*.suffix", then "*";
//  2. among those, by path: an exact path, then the longest prefix;
//  3. among those, by method: a route that lists the method, then one that
//     lists none.
//
// A route that matches by host and path but does not accept the method does not
// hide a less specific one that does.
//
// Hosts are compared without regard to ASCII case, to a port and to a trailing
// dot. Paths are compared byte by byte in decoded form. A prefix matches at
// segment boundaries only: "/a" matches "/a", "/a/" and "/a/b", not "/ab"; a
// trailing slash of a prefix is ignored.
//
// A snapshot restricted to a scope also lists the routes out of scope that overlap
// with routes in scope. A request that such a route matches gives OutOfScope and
// never a less specific route, which would lead to another service.
//
// Match makes no allocations, and its cost depends on the host's labels and the
// path's segments, not on the number of routes.
package routing
