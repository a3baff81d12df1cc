package language

import (
	"strings"

	"github.com/samphirewing/coordkit/state/configstore"
	"github.com/samphirewing/samphirewing/state/catalogue"
	"github.com/samphirewing/samphirewing/state/structs"
)

// tokenPrefixDigits is how many hexadecimal digits of a token's hash are shown.
const tokenPrefixDigits = 8

var declaredKinds = map[Subject]catalogue.Kind{
	SubjectTiers:         catalogue.KindTier,
	SubjectOrganisations: catalogue.KindOrganisation,
	SubjectPools:         catalogue.KindPool,
	SubjectEndpoints:     catalogue.KindEndpoint,
	SubjectServices:      catalogue.KindService,
	SubjectModels:        catalogue.KindServing,
	SubjectSettings:      catalogue.KindSetting,
}

// ShowDeclared executes a query whose subject is read from the configuration.
func ShowDeclared(view configstore.View, q Query) Table {
	var rows []Row
	view.Range(declaredKinds[q.Subject].Prefix(), func(o configstore.Object) bool {
		object, err := catalogue.DecodeObject(o.Key, o.Value)
		if err == nil {
			row := append(objectCells(object), Integer(o.Revision), Text(o.Author))
			rows = append(rows, row)
		}
		return true
	})
	return Table{Columns: q.Subject.Columns(), Rows: q.Select(rows)}
}

// objectCells returns the cells of an object, without revision and author.
func objectCells(object catalogue.Object) Row {
	switch o := object.(type) {
	case catalogue.Tier:
		return Row{Text(o.Name), Integer(o.Rank), Duration(o.DefaultDeadline)}
	case catalogue.Organisation:
		return Row{Text(o.Name), Number(o.Weight), Text(joinNames(o.Tiers)), Text(shortHash(o.TokenHash))}
	case catalogue.Pool:
		return Row{Text(o.Name), Integer(o.QueueLimit), Integer(o.Shards), Bool(o.PreemptLower)}
	case catalogue.Endpoint:
		return endpointCells(o)
	case catalogue.Service:
		return Row{Text(o.Name), Text(o.Pool), Bool(o.Repeatable)}
	case catalogue.Serving:
		return Row{Text(o.Model), Text(o.Pool)}
	case catalogue.Setting:
		return Row{Text(o.Name), Text(o.Value)}
	default:
		return nil
	}
}

func endpointCells(e catalogue.Endpoint) Row {
	serves := "all"
	if len(e.Targets) > 0 {
		serves = joinNames(e.Targets)
	}
	return Row{
		Text(e.Name), Text(e.Pool), Text(e.Address), Text(e.FailureDomain), Text(e.SpeedClass),
		Bool(e.ChecksFencing), Bool(e.Drained), Text(serves),
	}
}

// shortHash returns enough of a token's hash to distinguish tokens without
// revealing the whole hash.
func shortHash(h catalogue.TokenHash) string {
	if h.IsZero() {
		return "none"
	}
	return "sha256:" + h.String()[:tokenPrefixDigits]
}

func joinNames[S structs.TierName | structs.Target](names []S) string {
	words := make([]string, 0, len(names))
	for _, n := range names {
		words = append(words, string(n))
	}
	return strings.Join(words, ",")
}
