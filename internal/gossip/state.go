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

// savedState is what a member keeps on its disk.
type savedState struct {
	Name          string              `json:"name"`
	Incarnation   uint64              `json:"life"`
	Claim         fleet.Claim         `json:"claim"`
	Members       []string            `json:"members"` // addresses
	Claims        []savedClaim        `json:"held"`    // what others claimed ...
	SavedAtMillis int64               `json:"at"`      // ... by this wall clock, in milliseconds since 1970
	Voters        election.Electorate `json:"voters"`
}

// savedClaim is another member's claim, as it was known last: after a loss of power a place is kept for one whose disk is lost, too.
type savedClaim struct {
	Name        string      `json:"n"`
	Incarnation uint64      `json:"l"`
	Claim       fleet.Claim `json:"c"`
}

// savedSharedState is what the disk tells of others. They count as having left: whether they come back is not known, and until then they are
// no part of a majority.
func (e *Engine) savedSharedState() (p fleet.SharedState) {
	ago := max(0, time.Since(time.UnixMilli(e.saved.SavedAtMillis)))
	for _, h := range e.saved.Claims {
		p.Absent = append(p.Absent, fleet.AbsentMember{Member: fleet.Member{Name: h.Name, Incarnation: h.Incarnation, Claim: h.Claim}, State: fleet.Left, Ago: ago})
	}
	return p
}

// loadState reads what was kept. What is torn or another member's is set aside with a line in the log: this member's place is then told by
// the others, who keep it for its name. A file that can't be read now, and may be later, is an error.
func (e *Engine) loadState() error {
	empty := savedState{Claim: fleet.NoClaim}
	e.saved = empty
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
		e.saved = empty
		e.log.Error("fleet: the state is set aside", "file", e.cfg.StateFile, "as", e.cfg.StateFile+badSuffix, "err", err)
		if err := os.Rename(e.cfg.StateFile, e.cfg.StateFile+badSuffix); err != nil {
			return fmt.Errorf("the fleet's state in %s: %w", e.cfg.StateFile, err)
		}
	}
	return nil
}

const badSuffix = ".bad" // behind the name of a file that is set aside

// requestSave has the place and who is there kept soon, the newest of it: the table must not wait for a disk.
func (e *Engine) requestSave() {
	if e.cfg.StateFile == "" {
		return
	}
	e.saved.Name, e.saved.Incarnation, e.saved.Members = e.cfg.Name, e.incarnation, nil
	e.mu.Lock()
	for _, n := range e.nodes {
		e.saved.Members = append(e.saved.Members, n.Address())
	}
	e.mu.Unlock()
	slices.Sort(e.saved.Members)
	e.saved.SavedAtMillis, e.saved.Claims = time.Now().UnixMilli(), nil
	for _, r := range e.table.Members() {
		if !r.Self && r.State != fleet.Left && r.Claim.Slot >= 0 {
			e.saved.Claims = append(e.saved.Claims, savedClaim{r.Name, r.Incarnation, r.Claim})
		}
	}
	next := e.saved
	e.pendingState.Store(&next)
	select {
	case e.saveNeeded <- struct{}{}:
	default:
	}
}

// saveLoop writes what is to be kept, whole or not at all, until the context ends and nothing is left.
func (e *Engine) saveLoop(ctx context.Context) {
	write := func() {
		if s := e.pendingState.Swap(nil); s != nil {
			if err := writeFileAtomically(e.cfg.StateFile, *s); err != nil {
				e.log.Warn("the fleet's state was not kept", "err", err)
			}
		}
	}
	for {
		select {
		case <-e.saveNeeded:
			write()
		case <-ctx.Done():
			write()
			return
		}
	}
}

func writeFileAtomically(file string, v any) error {
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
