package wire

import (
	"golang.org/x/net/http2"
)

// This file has what a peer says of its limits: its settings and its windows.

// settings takes SETTINGS (RFC 9113, 6.5), in their order.
func (c *Conn) settings(f *http2.SettingsFrame) {
	if !c.greeted && f.IsAck() {
		c.fail(http2.ErrCodeProtocol, "the first frame is not SETTINGS")
		return
	}
	c.greeted = true
	if !c.charge(1) || f.IsAck() {
		return
	}
	for i := range f.NumSettings() {
		if err := c.setting(f.Setting(i)); err != nil {
			c.framing(err)
			return
		}
	}
	c.written(c.framer.WriteSettingsAck())
	c.push()
}

func (c *Conn) setting(s http2.Setting) error {
	if err := s.Valid(); err != nil {
		return err
	}
	switch s.ID {
	case http2.SettingEnablePush:
		if c.client && s.Val != 0 { // RFC 9113, 6.5.2
			return http2.ConnectionError(http2.ErrCodeProtocol)
		}
	case http2.SettingMaxConcurrentStreams:
		c.most = s.Val
	case http2.SettingHeaderTableSize:
		c.encoder.SetMaxDynamicTableSize(min(s.Val, tableSize))
	case http2.SettingInitialWindowSize:
		more := int64(s.Val) - c.firstOut
		c.firstOut = int64(s.Val)
		for _, st := range c.streams { // may go below nothing (RFC 9113, 6.9.2)
			if st.window += more; st.window > windowMost {
				return http2.ConnectionError(http2.ErrCodeFlowControl)
			}
		}
	}
	return nil
}

// windowUpdate takes WINDOW_UPDATE. It is paid for, and what is sent gives back more than it takes.
func (c *Conn) windowUpdate(f *http2.WindowUpdateFrame) {
	if !c.charge(1) {
		return
	}
	if f.StreamID == 0 {
		if c.window += int64(f.Increment); c.window > windowMost {
			c.fail(http2.ErrCodeFlowControl, "the connection's window is too large")
			return
		}
		c.push()
		return
	}
	if c.idle(f.StreamID) {
		c.fail(http2.ErrCodeProtocol, "WINDOW_UPDATE on a stream that was never begun")
		return
	}
	if s := c.streams[f.StreamID]; s != nil {
		if s.window += int64(f.Increment); s.window > windowMost {
			c.reset(s.id, http2.ErrCodeFlowControl)
			return
		}
		c.push()
	}
}
