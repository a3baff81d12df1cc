// Package journal ensures that work which must not be repeated runs at most
// once per key.
//
// An entry asks the writer of the key's partition to append an intent. The
// first intent of a key in log order wins. Only the entry of the winning
// attempt may send the work, once, before its send-by time. An outcome record
// settles the key. A key with an unknown outcome stays open until an operator
// resolves it.
//
// Index, Writer and Attempt are deterministic state machines without I/O.
// Journal runs them against the log and the mesh.
package journal
