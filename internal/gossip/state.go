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

// This file saves and loads the state that a member keeps on disk.

// savedState is the content of the state file.
type savedState struct {
	Name          string              `json:"name"`
	Incarnation   uint64              `json:"life"`
	Claim         fleet.Claim         `json:"claim"`
	Members       []string            `json:"members"` // addresses
	Claims        []savedClaim        `json:"held"`    // of other members ...
	SavedAtMillis int64               `json:"at"`      // ... when it was saved, in ms since 1970 by the wall clock
	Voters        election.Electorate `json:"voters"`
}

// savedClaim is the last known claim of another member. It reserves that member's slot after a power loss, even if its
// disk is lost.
type savedClaim struct {
	Name        string      `json:"n"`
	Incarnation uint64      `json:"l"`
	Claim       fleet.Claim `json:"c"`
}

// savedSharedState returns the claims of others from the state file. They count as members that left: it is not known
// whether they come back, and until then they must not count in a majority.
func (e *Engine) savedSharedState() (p fleet.SharedState) {
	ago := max(0, time.Since(time.UnixMilli(e.saved.SavedAtMillis)))
	for _, h := range e.saved.Claims {
		p.Absent = append(p.Absent, fleet.AbsentMember{Member: fleet.Member{Name: h.Name, Incarnation: h.Incarnation, Claim: h.Claim}, State: fleet.Left, Ago: ago})
	}
	return p
}

// loadState reads the state file. One that is corrupt or another member's is renamed, with an error in the log: the
// others, who reserve slots by name, then tell this member its slot. A file that can't be read now, but perhaps later,
// is an error.
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
		err = fmt.Errorf("it belongs to member %q", e.saved.Name)
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

const badSuffix = ".bad" // appended to the name of a file that was set aside

// requestSave makes saveLoop write the latest claim and members soon. The event loop must not wait for a disk.
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

// saveLoop writes each pending state atomically, until the context ends and the last one is written.
func (e *Engine) saveLoop(ctx context.Context) {
	write := func() {
		if s := e.pendingState.Swap(nil); s != nil {
			if err := writeFileAtomically(e.cfg.StateFile, *s); err != nil {
				e.log.Warn("failed to save the fleet's state", "err", err)
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
	defer os.Remove(tmp.Name()) // fails after the rename, when there is nothing to remove
	_, err = tmp.Write(text)
	err = errors.Join(err, tmp.Chmod(stateFileMode), tmp.Sync(), tmp.Close())
	if err != nil {
		return err
	}
	return os.Rename(tmp.Name(), file)
}
