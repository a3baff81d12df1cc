// Package catalogues embeds the catalogues of the two deployments as text in the
// operators' language.
package catalogues

import _ "embed"

// Gemelo declares the Taller Gemelo deployment, without endpoints.
//
//go:embed gemelo.swq
var Gemelo string

// Parapluie declares the Parapluie Réparé deployment, without endpoints.
//
//go:embed parapluie.swq
var Parapluie string
