// Package samphirewing is a request scheduler for unlike engines: every
// process between callers and back ends.
//
// It is laid out in four layers, each a folder: transport (HTTP towards
// callers, endpoints and operators), protocol (messages and their codecs),
// coordination (the pure decision parts) and state (the catalogue and the
// domain nouns). The daemon folder joins them into a process.
package samphirewing
