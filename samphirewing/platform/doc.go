// Package platform runs the product on the users' platform: it reads the
// platform's settings file, follows its metadata store, serves its callers and
// calls its endpoints.
//
// All names of the platform's protocols stand here and are translated into the
// product's own types. Decisions, state and recovery are the product's.
package platform
