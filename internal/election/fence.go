package election

// Fence is what a receiver keeps of each duty: the highest ownership admitted so far. The zero value is ready to use.
type Fence struct {
	admitted map[string]Ownership
	Rejected map[string]uint64 // number of rejected actions, by owner
}

// Ownership identifies an ownership of a duty.
type Ownership struct {
	Number uint64
	Owner  string
}

// Admit reports whether an owner's action may be carried out, which is so unless a later ownership was admitted before.
// Otherwise it returns that one.
func (f *Fence) Admit(duty string, m Ownership) (above Ownership, ok bool) {
	if f.admitted == nil {
		f.admitted, f.Rejected = map[string]Ownership{}, map[string]uint64{}
	}
	if old := f.admitted[duty]; m.Number < old.Number || m.Number == old.Number && old.Owner != "" && m.Owner != old.Owner {
		if _, known := f.Rejected[m.Owner]; known || len(f.Rejected) < maxRejectedMembers {
			f.Rejected[m.Owner]++
		}
		return old, false
	}
	f.admitted[duty] = m
	return m, true
}

const maxRejectedMembers = 4096 // members whose rejections are counted
