// Package samphirewing is a request scheduler for heterogeneous engines. It
// provides every process between callers and endpoints.
//
// It has four layers, one directory each: transport (HTTP towards callers,
// endpoints and operators), protocol (messages and their codecs), coordination
// (decision logic without I/O) and state (the catalogue and the domain types).
// The daemon directory assembles them into a process.
package samphirewing
