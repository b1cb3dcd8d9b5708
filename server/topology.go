package server

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"umberladder/driver"
	"umberladder/inventory"
	"umberladder/topology"
)

// topologyFile is the file in the state directory that holds the observed terms. Unlike the sessions file it is not
// removed when read, because it can only cause refusals.
const topologyFile = "topology.last"

// topologyInterval is the time between checks for changes to be saved.
const topologyInterval = time.Second

// loadTopology reads the topology that a previous process saved. It returns an error for a damaged file.
func loadTopology(dir string) (*topology.State, error) {
	if dir == "" {
		return nil, nil
	}
	path := filepath.Join(dir, topologyFile)
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("topology: %w", err)
	}
	st, err := topology.Decode(text)
	if err != nil {
		return nil, fmt.Errorf("topology file %s is not used: %w", path, err)
	}
	return st, nil
}

// saveTopologyChanges saves changes until ctx ends.
func (s *Server) saveTopologyChanges(ctx context.Context) {
	if s.settings.StateDir == "" {
		return
	}
	tick := time.NewTicker(topologyInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		var st *topology.State
		if s.loop.withEngine(ctx, func(e *driver.Engine) { st = e.Topology() }) == nil {
			s.saveTopology(st)
		}
	}
}

// saveTopology writes a state that differs from the last one written. A driver without any reports does not overwrite
// the file.
func (s *Server) saveTopology(st *topology.State) {
	if s.settings.StateDir == "" || len(st.Slices) == 0 {
		return
	}
	text, err := st.Encode()
	if err == nil && bytes.Equal(text, s.savedTopology) {
		return
	}
	if err == nil {
		err = inventory.ReplaceFile(filepath.Join(s.settings.StateDir, topologyFile), text)
	}
	if err != nil {
		s.log.Error(err.Error())
		return
	}
	s.savedTopology = text
}
