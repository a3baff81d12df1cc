// Package platform runs the product on the users' platform: it reads the
// platform's settings file, follows its metadata store, serves its callers and
// calls its endpoints.
//
// All names of the platform's protocols are defined in this package and
// translated into the product's own types. Decisions, state and recovery belong
// to other packages.
package platform
