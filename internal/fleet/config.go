package fleet

import (
	"fmt"
	"time"
)

// Config is the configuration of a member.
type Config struct {
	Self            Member // its claim is NoClaim
	Slots           int    // number of slots, numbered from 0
	ExpectedMembers int    // intended size of the fleet: a majority is counted of at least this many
	LastClaim       Claim  // the claim last used, from local disk, or NoClaim

	ClaimDelay           time.Duration // wait without new members or claims before a claim: members that start together know each other by then
	MaxClaimDelay        time.Duration // limit on that wait in a fleet that keeps changing; grows in large fleets
	ConfirmDelay         time.Duration // time between a claim and its use
	IsolatedRestoreDelay time.Duration // wait before a cut-off member uses its restored slot, if the others can't form a majority
	SilenceTimeout       time.Duration // time without contact with any member after which this one counts as cut off
	PauseThreshold       time.Duration // interval between two events that means that the process or machine was paused
	Lease                time.Duration // how long a slot is kept without a majority while the others may have one
	ReservationPeriod    time.Duration // how long the slot of a lost or departed member is reserved; more than Lease plus failure detection
	ForgetAfter          time.Duration // how long a lost member counts towards the fleet's size
}

// DefaultConfig returns settings for a local network with an engine that detects a failure within 10 s.
func DefaultConfig() Config {
	return Config{ExpectedMembers: 1, LastClaim: NoClaim, ClaimDelay: time.Second, MaxClaimDelay: 30 * time.Second, IsolatedRestoreDelay: 15 * time.Second, ConfirmDelay: 2 * time.Second, SilenceTimeout: 3 * time.Second, PauseThreshold: 2 * time.Second,
		Lease: 2 * time.Minute, ReservationPeriod: 3 * time.Minute, ForgetAfter: 10 * time.Minute}
}

// Validate returns an error for the first invalid value.
func (c *Config) Validate() error {
	switch {
	case c.Self.Name == "":
		return fmt.Errorf("fleet: member name is empty")
	case c.Slots < 1:
		return fmt.Errorf("fleet: invalid slot count %d, want 1 or more", c.Slots)
	case c.ReservationPeriod <= c.Lease:
		return fmt.Errorf("fleet: reservation period %v must be longer than the lease %v", c.ReservationPeriod, c.Lease)
	}
	return nil
}
