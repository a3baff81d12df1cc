package configstore

import (
	"sort"
	"strings"
)

// objectList is an immutable View: objects sorted by key.
type objectList struct {
	objects  []*Object
	revision Revision
}

func search(objects []*Object, k Key) (int, bool) {
	i := sort.Search(len(objects), func(i int) bool { return objects[i].Key >= k })
	return i, i < len(objects) && objects[i].Key == k
}

// Get returns the object with key k, or false if there is none.
func (l *objectList) Get(k Key) (Object, bool) {
	i, ok := search(l.objects, k)
	if !ok {
		return Object{}, false
	}
	return *l.objects[i], true
}

// Range visits the objects whose key starts with prefix in key order.
func (l *objectList) Range(prefix Key, f func(Object) bool) {
	i, _ := search(l.objects, prefix)
	for ; i < len(l.objects) && strings.HasPrefix(string(l.objects[i].Key), string(prefix)); i++ {
		if !f(*l.objects[i]) {
			return
		}
	}
}

// Revision returns the revision of the last record applied.
func (l *objectList) Revision() Revision { return l.revision }

// apply returns objects with the writes of a change set applied. It modifies
// the slice when owned is set, and a copy otherwise.
func apply(objects []*Object, owned bool, writes []*Object, deleted []Key) []*Object {
	if !owned {
		objects = append(make([]*Object, 0, len(objects)+len(writes)), objects...)
	}
	for _, w := range writes {
		i, found := search(objects, w.Key)
		if found {
			objects[i] = w
			continue
		}
		objects = append(objects, nil)
		copy(objects[i+1:], objects[i:])
		objects[i] = w
	}
	for _, k := range deleted {
		if i, found := search(objects, k); found {
			objects = append(objects[:i], objects[i+1:]...)
		}
	}
	return objects
}

// overlay is the View that would result from a change set.
type overlay struct {
	base     *objectList
	writes   []*Object
	deleted  map[Key]bool
	revision Revision
}

func newOverlay(base *objectList, writes []*Object, deleted []Key, r Revision) *overlay {
	sorted := append([]*Object(nil), writes...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].Key < sorted[j].Key })
	deletedKeys := make(map[Key]bool, len(deleted))
	for _, k := range deleted {
		deletedKeys[k] = true
	}
	return &overlay{base: base, writes: sorted, deleted: deletedKeys, revision: r}
}

// Get returns the object with key k, or false if it would not exist after the
// change set.
func (o *overlay) Get(k Key) (Object, bool) {
	if i, ok := search(o.writes, k); ok {
		return *o.writes[i], true
	}
	if o.deleted[k] {
		return Object{}, false
	}
	return o.base.Get(k)
}

// Range merges the base objects and the writes in key order.
func (o *overlay) Range(prefix Key, f func(Object) bool) {
	w, _ := search(o.writes, prefix)
	stopped := false
	emitBefore := func(limit Key, all bool) bool {
		for ; w < len(o.writes) && strings.HasPrefix(string(o.writes[w].Key), string(prefix)); w++ {
			if !all && o.writes[w].Key >= limit {
				return true
			}
			if !f(*o.writes[w]) {
				stopped = true
				return false
			}
		}
		return true
	}
	o.base.Range(prefix, func(b Object) bool {
		if !emitBefore(b.Key, false) {
			return false
		}
		if _, replaced := search(o.writes, b.Key); replaced || o.deleted[b.Key] {
			return true
		}
		if !f(b) {
			stopped = true
			return false
		}
		return true
	})
	if !stopped {
		emitBefore("", true)
	}
}

// Revision returns the revision that the change set would have.
func (o *overlay) Revision() Revision { return o.revision }
