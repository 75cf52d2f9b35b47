// Package endpoint parses the addresses that a program learns from others: an IP address and a port to
// which a connection can be opened. An address is parsed once, where it comes in; what lies behind uses
// netip.AddrPort.
package endpoint
