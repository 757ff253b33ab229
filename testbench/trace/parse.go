package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/go-faster/errors"
)

// Limits of a trace.
const (
	maxLineBytes = 64 << 10
	maxEvents    = 1_000_000
	maxInstances = 64
	maxScale     = 10_000
)

// line is any line of a trace.
type line struct {
	*Header
	*Event
	Expect *Expect `json:"expect"`
}

// Parse reads a trace. Errors name the line.
func Parse(input io.Reader) (*Trace, error) {
	scanner := bufio.NewScanner(input)
	scanner.Buffer(nil, maxLineBytes)
	p := parser{}
	for scanner.Scan() {
		p.number++
		text := bytes.TrimSpace(scanner.Bytes())
		if len(text) == 0 || text[0] == '#' {
			continue
		}
		if err := p.add(text); err != nil {
			return nil, errors.Wrapf(err, "line %d", p.number)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, errors.Wrapf(err, "line %d", p.number+1)
	}
	if !p.hasHeader || !p.hasExpect {
		return nil, errors.New("a trace needs a header and an expect line")
	}
	return &p.trace, nil
}

type parser struct {
	trace     Trace
	number    int
	hasHeader bool
	hasExpect bool
}

func (p *parser) add(text []byte) error {
	var next line
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&next); err != nil {
		return err
	}
	if decoder.More() {
		return errors.New("more than one value")
	}
	switch {
	case p.hasExpect:
		return errors.New("nothing may follow the expect line")
	case next.Header != nil && next.Event == nil && next.Expect == nil:
		return p.header(*next.Header)
	case !p.hasHeader:
		return errors.New("the first line must be the header")
	case next.Event != nil && next.Header == nil && next.Expect == nil:
		return p.event(*next.Event)
	case next.Expect != nil && next.Event == nil && next.Header == nil:
		return p.expect(*next.Expect)
	}
	return errors.New("a line is a header, an event or an expect line")
}

func (p *parser) header(header Header) error {
	switch {
	case p.hasHeader:
		return errors.New("second header")
	case header.Trace != Version:
		return errors.Errorf("version %d is not %d", header.Trace, Version)
	case header.Profile == "":
		return errors.New("no profile")
	case header.Instances < 1 || header.Instances > maxInstances:
		return errors.Errorf("instances must be from 1 to %d", maxInstances)
	case header.Scale < 1 || header.Scale > maxScale:
		return errors.Errorf("scale must be from 1 to %d", maxScale)
	}
	p.trace.Header = header
	p.hasHeader = true
	return nil
}

func (p *parser) event(event Event) error {
	events := p.trace.Events
	switch {
	case len(events) == maxEvents:
		return errors.Errorf("more than %d events", maxEvents)
	case event.AtMS < 0 || len(events) > 0 && event.AtMS < events[len(events)-1].AtMS:
		return errors.New("events must be ordered by at_ms")
	}
	if err := check(event); err != nil {
		return err
	}
	p.trace.Events = append(events, event)
	return nil
}

// check finds the fields that an event lacks.
func check(event Event) error {
	switch event.Do {
	case DoWrite, DoOnce, DoFresh, DoAged:
		if event.Caller == "" || event.Session == "" || event.Group == "" || event.Key == "" {
			return errors.Errorf("%s needs caller, session, group and key", event.Do)
		}
	case DoKill, DoRevive, DoFollow, DoLag, DoStick, DoUnstick:
		if event.Group == "" || event.Upstream == "" {
			return errors.Errorf("%s needs group and upstream", event.Do)
		}
	case DoPlatform:
		if event.Platform == nil {
			return errors.New("platform needs its state")
		}
	case DoStop, DoCrash, DoFreeze, DoThaw, DoStart:
	default:
		return errors.Errorf("unknown do %q", event.Do)
	}
	if event.Via < 0 || event.Via >= maxInstances || event.LagMS < 0 {
		return errors.New("via or lag_ms out of range")
	}
	return nil
}

func (p *parser) expect(expect Expect) error {
	shares := expect.MinAnswered >= 0 && expect.MinAnswered <= 1 &&
		expect.MinReplicaShare >= 0 && expect.MinReplicaShare <= 1
	if !shares || expect.Violations < 0 || expect.MaxGapMS < 0 {
		return errors.New("expected outcome out of range")
	}
	p.trace.Expect = expect
	p.hasExpect = true
	return nil
}

// Write writes a trace in the form that Parse reads.
func Write(output io.Writer, t *Trace) error {
	encoder := json.NewEncoder(output)
	if err := encoder.Encode(t.Header); err != nil {
		return err
	}
	for _, event := range t.Events {
		if err := encoder.Encode(event); err != nil {
			return err
		}
	}
	return encoder.Encode(struct {
		Expect Expect `json:"expect"`
	}{t.Expect})
}
