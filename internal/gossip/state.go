package gossip

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"sloepick/internal/election"
	"sloepick/internal/fleet"
)

// This file is what a member keeps on its disk.

// saved is what a member keeps on its disk.
type saved struct {
	Name    string              `json:"name"`
	Life    uint64              `json:"life"`
	Claim   fleet.Claim         `json:"claim"`
	Members []string            `json:"members"` // addresses
	Held    []held              `json:"held"`    // what others claimed ...
	At      int64               `json:"at"`      // ... by this wall clock, in milliseconds since 1970
	Voters  election.Electorate `json:"voters"`
}

// held is another member's claim, as it was known last: after a loss of power a place is kept for one whose disk is lost, too.
type held struct {
	Name  string      `json:"n"`
	Life  uint64      `json:"l"`
	Claim fleet.Claim `json:"c"`
}

// heldBefore is what the disk tells of others. They count as having left: whether they come back is not known, and until then they are
// no part of a majority.
func (e *Engine) heldBefore() (p fleet.SharedState) {
	ago := max(0, time.Since(time.UnixMilli(e.saved.At)))
	for _, h := range e.saved.Held {
		p.Absent = append(p.Absent, fleet.AbsentMember{Member: fleet.Member{Name: h.Name, Incarnation: h.Life, Claim: h.Claim}, State: fleet.Left, Ago: ago})
	}
	return p
}

// load reads what was kept. What is torn or another member's is set aside with a line in the log: this member's place is then told by
// the others, who keep it for its name. A file that can't be read now, and may be later, is an error.
func (e *Engine) load() error {
	none := saved{Claim: fleet.NoClaim}
	e.saved = none
	if e.cfg.StateFile == "" {
		return nil
	}
	text, err := os.ReadFile(e.cfg.StateFile)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("the fleet's state in %s: %w", e.cfg.StateFile, err)
	}
	if err = json.Unmarshal(text, &e.saved); err == nil && e.saved.Name != "" && e.saved.Name != e.cfg.Name {
		err = fmt.Errorf("it is the member's %q", e.saved.Name)
	}
	if err != nil {
		e.saved = none
		e.log.Error("fleet: the state is set aside", "file", e.cfg.StateFile, "as", e.cfg.StateFile+badSuffix, "err", err)
		if err := os.Rename(e.cfg.StateFile, e.cfg.StateFile+badSuffix); err != nil {
			return fmt.Errorf("the fleet's state in %s: %w", e.cfg.StateFile, err)
		}
	}
	return nil
}

const badSuffix = ".bad" // behind the name of a file that is set aside

// keep has the place and who is there kept soon, the newest of it: the table must not wait for a disk.
func (e *Engine) keep() {
	if e.cfg.StateFile == "" {
		return
	}
	e.saved.Name, e.saved.Life, e.saved.Members = e.cfg.Name, e.life, nil
	e.mu.Lock()
	for _, n := range e.nodes {
		e.saved.Members = append(e.saved.Members, n.Address())
	}
	e.mu.Unlock()
	slices.Sort(e.saved.Members)
	e.saved.At, e.saved.Held = time.Now().UnixMilli(), nil
	for _, r := range e.table.Members() {
		if !r.Self && r.State != fleet.Left && r.Claim.Slot >= 0 {
			e.saved.Held = append(e.saved.Held, held{r.Name, r.Incarnation, r.Claim})
		}
	}
	next := e.saved
	e.toKeep.Store(&next)
	select {
	case e.unkept <- struct{}{}:
	default:
	}
}

// save writes what is to be kept, whole or not at all, until the context ends and nothing is left.
func (e *Engine) save(ctx context.Context) {
	write := func() {
		if s := e.toKeep.Swap(nil); s != nil {
			if err := writeWhole(e.cfg.StateFile, *s); err != nil {
				e.log.Warn("the fleet's state was not kept", "err", err)
			}
		}
	}
	for {
		select {
		case <-e.unkept:
			write()
		case <-ctx.Done():
			write()
			return
		}
	}
}

func writeWhole(file string, v any) error {
	text, err := json.Marshal(v)
	if err != nil {
		return err
	}
	tmp, err := os.CreateTemp(filepath.Dir(file), filepath.Base(file)+".*")
	if err != nil {
		return err
	}
	defer os.Remove(tmp.Name()) // gone by then, if all went well
	_, err = tmp.Write(text)
	err = errors.Join(err, tmp.Chmod(stateFileMode), tmp.Sync(), tmp.Close())
	if err != nil {
		return err
	}
	return os.Rename(tmp.Name(), file)
}
