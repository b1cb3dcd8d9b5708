// Command drill runs any number of routers for the simulator. They exchange frames of package simwire over standard
// input and output: each frame holds a batch of events and is answered by a batch of actions.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"umberladder/balance"
	"umberladder/internal/simwire"
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(1)
	}
}

// instance is one router and its events of the current batch.
type instance struct {
	id      uint32
	router  *balance.Router
	events  []balance.Event
	pending bool   // there are inputs for it in the current batch
	fault   string // the router's panic as text; empty if none
}

// host runs the instances of one connection to the simulator.
type host struct {
	instances map[uint32]*instance
	active    []*instance // instances with inputs in the current batch, in order
	actions   []balance.Action
}

func serve(in io.Reader, out io.Writer) error {
	dec := simwire.NewDecoder(bufio.NewReaderSize(in, 1<<16))
	w := bufio.NewWriterSize(out, 1<<16)
	h := &host{instances: map[uint32]*instance{}}
	var enc simwire.Encoder
	for {
		now, inputs, err := dec.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := h.deliver(inputs); err != nil {
			return err
		}
		enc.Begin()
		h.step(now, &enc)
		if _, err := w.Write(enc.Finish()); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
}

// deliver assigns each input of a batch to its instance, in order, and starts and stops routers.
func (h *host) deliver(inputs []simwire.Input) error {
	h.active = h.active[:0]
	for i := range inputs {
		in := &inputs[i]
		inst := h.instances[in.Instance]
		if inst == nil {
			inst = &instance{id: in.Instance}
			h.instances[in.Instance] = inst
		}
		if !inst.pending {
			inst.pending = true
			h.active = append(h.active, inst)
		}
		switch {
		case in.Start != nil:
			router, err := balance.New(in.Start.Config, in.Start.Seed)
			if err != nil {
				return fmt.Errorf("instance %d: %w", in.Instance, err)
			}
			inst.router, inst.events, inst.fault = router, inst.events[:0], ""
		case in.Stop:
			inst.router, inst.events = nil, inst.events[:0]
		default:
			inst.events = append(inst.events, in.Event)
		}
	}
	return nil
}

// step runs one step of each active instance and encodes its actions. An instance that faults is stopped.
func (h *host) step(now time.Duration, enc *simwire.Encoder) {
	for _, inst := range h.active {
		inst.pending = false
		if inst.router != nil {
			h.actions = inst.step(now, h.actions[:0])
			if len(h.actions) > 0 || inst.fault != "" {
				enc.SelectInstance(inst.id)
			}
			for i := range h.actions {
				enc.Action(&h.actions[i])
			}
			if inst.fault != "" {
				enc.Fault(inst.fault)
				inst.router = nil
			}
		}
		clear(inst.events)
		inst.events = inst.events[:0]
	}
}

// step runs the router on the batch's events. A panic becomes the instance's fault, so that others go on.
func (i *instance) step(now time.Duration, actions []balance.Action) (out []balance.Action) {
	defer func() {
		if p := recover(); p != nil {
			out, i.fault = actions[:0], fmt.Sprint("decision code: ", p)
		}
	}()
	return i.router.Step(now, i.events, actions)
}
