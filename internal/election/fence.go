package election

// Fence is what a receiver keeps of each duty: the highest number that it took, and whose. The zero value has taken none.
type Fence struct {
	admitted map[string]Ownership
	Rejected map[string]uint64 // actions that were turned away, by who sent them
}

// Ownership is an ownership.
type Ownership struct {
	Number uint64
	Owner  string
}

// Admit reports whether an action of an owner may be carried out: none of a higher number was. If not, it tells what stands above.
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

const maxRejectedMembers = 4096 // members that are counted by name
