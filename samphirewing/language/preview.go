package language

import (
	"slices"
	"strings"

	"github.com/juju/errors"

	"github.com/samphirewing/coordkit/state/configstore"
	"github.com/samphirewing/samphirewing/state/catalogue"
)

// DryRun judges a change set as the log and the fold would if it were next: it
// returns the error that would refuse it, or nil.
func DryRun(view configstore.View, c configstore.ChangeSet) error {
	if _, err := configstore.EncodeChangeSet(view.Revision().Generation(), c); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(catalogue.Rules{}.Check(c.RuleVersion, newPreview(view, c.Writes), c))
}

// preview is a view with writes on top. The last write of a key counts.
type preview struct {
	base   configstore.View
	writes map[configstore.Key]configstore.Write
	// keys are the written keys in order.
	keys []configstore.Key
}

func newPreview(base configstore.View, writes []configstore.Write) *preview {
	p := &preview{base: base, writes: make(map[configstore.Key]configstore.Write, len(writes))}
	for _, w := range writes {
		if _, seen := p.writes[w.Key]; !seen {
			p.keys = append(p.keys, w.Key)
		}
		p.writes[w.Key] = w
	}
	slices.Sort(p.keys)
	return p
}

// Get returns the object as it would stand.
func (p *preview) Get(k configstore.Key) (configstore.Object, bool) {
	w, written := p.writes[k]
	if !written {
		return p.base.Get(k)
	}
	return configstore.Object{Key: k, Value: w.Value}, !w.Delete
}

// Range visits the objects as they would stand, in key order.
func (p *preview) Range(prefix configstore.Key, f func(configstore.Object) bool) {
	from, _ := slices.BinarySearch(p.keys, prefix)
	pending := p.keys[from:]
	more := true
	emit := func(before configstore.Key, all bool) {
		for more && len(pending) > 0 && strings.HasPrefix(string(pending[0]), string(prefix)) && (all || pending[0] < before) {
			if o, ok := p.Get(pending[0]); ok {
				more = f(o)
			}
			pending = pending[1:]
		}
	}
	p.base.Range(prefix, func(o configstore.Object) bool {
		emit(o.Key, false)
		if _, written := p.writes[o.Key]; more && !written {
			more = f(o)
		}
		return more
	})
	emit("", true)
}

// Revision returns the revision of the view below.
func (p *preview) Revision() configstore.Revision { return p.base.Revision() }
