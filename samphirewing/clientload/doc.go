// Package clientload holds the tests of daemons under uncontrolled clients: a small
// crowd sends bodies, headers or requests without regard to limits, or does not
// read its responses. The daemons run as processes with lowered limits.
//
// The tests check only that the process lives, that its resident memory and its
// open descriptors stay within its settings, and that an ordinary request is
// answered afterwards. They must run one at a time and apart from other load;
// scripts/test runs this package by itself.
package clientload
