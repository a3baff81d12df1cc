// Package journal makes work that may not be repeated run at most once per
// key.
//
// An entry asks the writer of the key's partition to append an intent. The
// first intent of a key in log order wins; only the winner's entry may send the
// work, once, before its send-by time. An outcome record settles the key. A key
// whose outcome is not known stays so until an operator resolves it.
//
// Index, Writer and Attempt are the decision parts. Journal is the shell that
// an entry uses.
package journal
