// Package model holds the kinds of resource that operators declare (Service,
// Route, Secret and Tenant), the canonical encoding of each, and the content
// address derived from that encoding.
//
// Values of this package are plain data. Once a resource has been placed in a
// snapshot it must not be changed; code that needs a variation makes a copy.
package model
