package owner

// Fence is what a receiver keeps of each duty: the highest number that it took, and whose. The zero value has taken none.
type Fence struct {
	taken  map[string]Mark
	Turned map[string]uint64 // actions that were turned away, by who sent them
}

// Mark is an ownership.
type Mark struct {
	Number uint64
	Who    string
}

// Take reports whether an action of an owner may be carried out: none of a higher number was. If not, it tells what stands above.
func (f *Fence) Take(duty string, m Mark) (above Mark, ok bool) {
	if f.taken == nil {
		f.taken, f.Turned = map[string]Mark{}, map[string]uint64{}
	}
	if old := f.taken[duty]; m.Number < old.Number || m.Number == old.Number && old.Who != "" && m.Who != old.Who {
		if _, known := f.Turned[m.Who]; known || len(f.Turned) < turnedMost {
			f.Turned[m.Who]++
		}
		return old, false
	}
	f.taken[duty] = m
	return m, true
}

const turnedMost = 4096 // members that are counted by name
