package language

import (
	"slices"
	"strings"

	"github.com/juju/errors"

	"github.com/samphirewing/coordkit/state/configstore"
	"github.com/samphirewing/samphirewing/state/catalogue"
)

// DryRun checks a change set without applying it. It returns the error with
// which the change set would be rejected if it were the next one in the log,
// or nil.
func DryRun(view configstore.View, c configstore.ChangeSet) error {
	if _, err := configstore.EncodeChangeSet(view.Revision().Generation(), c); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(catalogue.Rules{}.Check(c.RuleVersion, newOverlay(view, c.Writes), c))
}

// overlay is a view with writes layered on top of it. The last write of a key
// wins.
type overlay struct {
	base   configstore.View
	writes map[configstore.Key]configstore.Write
	// keys are the written keys in ascending order.
	keys []configstore.Key
}

func newOverlay(base configstore.View, writes []configstore.Write) *overlay {
	v := &overlay{base: base, writes: make(map[configstore.Key]configstore.Write, len(writes))}
	for _, w := range writes {
		if _, written := v.writes[w.Key]; !written {
			v.keys = append(v.keys, w.Key)
		}
		v.writes[w.Key] = w
	}
	slices.Sort(v.keys)
	return v
}

// Get returns the object as it is after the writes.
func (v *overlay) Get(k configstore.Key) (configstore.Object, bool) {
	w, written := v.writes[k]
	if !written {
		return v.base.Get(k)
	}
	return configstore.Object{Key: k, Value: w.Value}, !w.Delete
}

// Range visits the objects as they are after the writes, in key order.
func (v *overlay) Range(prefix configstore.Key, f func(configstore.Object) bool) {
	from, _ := slices.BinarySearch(v.keys, prefix)
	pending := v.keys[from:]
	proceed := true
	emit := func(before configstore.Key, all bool) {
		for proceed && len(pending) > 0 && strings.HasPrefix(string(pending[0]), string(prefix)) && (all || pending[0] < before) {
			if o, ok := v.Get(pending[0]); ok {
				proceed = f(o)
			}
			pending = pending[1:]
		}
	}
	v.base.Range(prefix, func(o configstore.Object) bool {
		emit(o.Key, false)
		if _, written := v.writes[o.Key]; proceed && !written {
			proceed = f(o)
		}
		return proceed
	})
	emit("", true)
}

// Revision returns the revision of the underlying view.
func (v *overlay) Revision() configstore.Revision { return v.base.Revision() }
