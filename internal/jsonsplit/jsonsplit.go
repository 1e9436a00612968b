// Package jsonsplit splits a JSON object into its fields and a list into its elements, without decoding them. encoding/json refuses a text as a
// whole if any value in it is invalid or nested too deep; the parts can be decoded each by itself.
//
// Time is linear in the size of the text and memory is constant, whatever it holds. Values are delimited by their quotes and brackets alone: that a
// value is valid JSON is left to its decoder.
package jsonsplit

import (
	"bytes"
	"encoding/json"

	"github.com/rotisserie/eris"
)

// ErrMalformed is returned for a text that is not a single object or list, or that ends early.
var ErrMalformed = eris.New("malformed JSON")

// Fields calls visit with each field of an object, in order. A name that stands twice is passed twice. value is a part of text.
func Fields(text []byte, visit func(name string, value []byte)) error {
	s := scanner{text: text}
	return s.sequence('{', '}', func() error {
		if s.peek() != '"' {
			return s.malformed("a name")
		}
		at := s.pos
		if err := s.skipString(); err != nil {
			return err
		}
		name, err := unquote(text[at:s.pos])
		if err != nil {
			return err
		}
		if s.peek() != ':' {
			return s.malformed("a colon")
		}
		s.pos++
		value, err := s.value()
		if err == nil {
			visit(name, value)
		}
		return err
	})
}

// Elements calls visit with each element of a list, in order. element is a part of text.
func Elements(text []byte, visit func(element []byte)) error {
	s := scanner{text: text}
	return s.sequence('[', ']', func() error {
		element, err := s.value()
		if err == nil {
			visit(element)
		}
		return err
	})
}

// unquote decodes a string with its quotes.
func unquote(quoted []byte) (string, error) {
	if inner := quoted[1 : len(quoted)-1]; bytes.IndexByte(inner, '\\') < 0 {
		return string(inner), nil
	}
	var text string
	if err := json.Unmarshal(quoted, &text); err != nil {
		return "", eris.Wrap(ErrMalformed, "name of a field")
	}
	return text, nil
}

type scanner struct {
	text []byte
	pos  int
}

func (s *scanner) malformed(wanted string) error {
	return eris.Wrapf(ErrMalformed, "want %s at byte %d of %d", wanted, s.pos, len(s.text))
}

// peek skips white space and returns the next byte; 0 at the end.
func (s *scanner) peek() byte {
	for ; s.pos < len(s.text); s.pos++ {
		switch c := s.text[s.pos]; c {
		case ' ', '\t', '\r', '\n':
		default:
			return c
		}
	}
	return 0
}

// sequence reads the whole text as a sequence of items between two brackets, separated by commas.
func (s *scanner) sequence(open, end byte, item func() error) error {
	if s.peek() != open {
		return s.malformed(string(open))
	}
	s.pos++
	for first := true; ; first = false {
		next := s.peek()
		if next == end {
			break
		}
		if !first {
			if next != ',' {
				return s.malformed("a comma")
			}
			s.pos++
		}
		if err := item(); err != nil {
			return err
		}
	}
	s.pos++
	if s.peek(); s.pos < len(s.text) {
		return s.malformed("the end")
	}
	return nil
}

// value skips a value and returns it.
func (s *scanner) value() ([]byte, error) {
	next := s.peek()
	at := s.pos
	var err error
	switch next {
	case '"':
		err = s.skipString()
	case '{', '[':
		err = s.skipNested()
	default:
		err = s.skipLiteral()
	}
	return s.text[at:s.pos], err
}

func (s *scanner) skipLiteral() error {
	length := bytes.IndexAny(s.text[s.pos:], " \t\r\n,:\"{}[]")
	if length <= 0 {
		return s.malformed("a value") // nothing, or no end: a literal is always followed by a bracket at least
	}
	s.pos += length
	return nil
}

func (s *scanner) skipString() error {
	s.pos++
	end := -1 // the next quote at or after pos
	for {
		if end < s.pos {
			next := bytes.IndexByte(s.text[s.pos:], '"')
			if next < 0 {
				break
			}
			end = s.pos + next
		}
		escape := bytes.IndexByte(s.text[s.pos:end], '\\')
		if escape < 0 {
			s.pos = end + 1
			return nil
		}
		if s.pos += escape + 2; s.pos > len(s.text) {
			break
		}
	}
	s.pos = len(s.text)
	return s.malformed("the end of a string")
}

func (s *scanner) skipNested() error {
	depth := 0
	for s.pos < len(s.text) {
		switch s.text[s.pos] {
		case '"':
			if err := s.skipString(); err != nil {
				return err
			}
			continue
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		}
		s.pos++
		if depth == 0 {
			return nil
		}
	}
	return s.malformed("a closing bracket")
}
