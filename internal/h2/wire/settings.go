package wire

import (
	"golang.org/x/net/http2"
)

// This file handles the peer's SETTINGS and WINDOW_UPDATE frames.

// handleSettings applies the settings in their order (RFC 9113, 6.5).
func (c *Conn) handleSettings(f *http2.SettingsFrame) {
	if !c.settingsReceived && f.IsAck() {
		c.fail(http2.ErrCodeProtocol, "the first frame is not SETTINGS")
		return
	}
	c.settingsReceived = true
	if !c.chargeOverhead(1) || f.IsAck() {
		return
	}
	for i := range f.NumSettings() {
		if err := c.applySetting(f.Setting(i)); err != nil {
			c.handleFramerError(err)
			return
		}
	}
	c.mustWrite(c.framer.WriteSettingsAck())
	c.sendPending()
}

func (c *Conn) applySetting(s http2.Setting) error {
	if err := s.Valid(); err != nil {
		return err
	}
	switch s.ID {
	case http2.SettingEnablePush:
		if c.isClient && s.Val != 0 { // RFC 9113, 6.5.2
			return http2.ConnectionError(http2.ErrCodeProtocol)
		}
	case http2.SettingMaxConcurrentStreams:
		c.peerMaxStreams = s.Val
	case http2.SettingHeaderTableSize:
		c.encoder.SetMaxDynamicTableSize(min(s.Val, hpackTableBytes))
	case http2.SettingInitialWindowSize:
		delta := int64(s.Val) - c.peerInitialWindow
		c.peerInitialWindow = int64(s.Val)
		for _, st := range c.streams { // a window may become negative (RFC 9113, 6.9.2)
			if st.sendWindow += delta; st.sendWindow > maxWindow {
				return http2.ConnectionError(http2.ErrCodeFlowControl)
			}
		}
	}
	return nil
}

// handleWindowUpdate processes WINDOW_UPDATE. Each is charged as overhead; sendPending returns the tokens for every DATA
// frame that it sends.
func (c *Conn) handleWindowUpdate(f *http2.WindowUpdateFrame) {
	if !c.chargeWindowUpdate() {
		return
	}
	if f.StreamID == 0 {
		if c.sendWindow += int64(f.Increment); c.sendWindow > maxWindow {
			c.fail(http2.ErrCodeFlowControl, "the connection's window is too large")
			return
		}
		c.sendPending()
		return
	}
	if c.isIdle(f.StreamID) {
		c.fail(http2.ErrCodeProtocol, "WINDOW_UPDATE on a stream that was never begun")
		return
	}
	if s := c.streams[f.StreamID]; s != nil {
		if s.sendWindow += int64(f.Increment); s.sendWindow > maxWindow {
			c.resetForError(s.id, http2.ErrCodeFlowControl)
			return
		}
		c.sendPending()
	}
}
