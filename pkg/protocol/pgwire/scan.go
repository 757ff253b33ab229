package pgwire

import "strings"

// tokenKind is the kind of a lexical element of SQL.
type tokenKind uint8

const (
	tokenEnd tokenKind = iota
	tokenWord
	tokenQuoted
	tokenString
	tokenNumber
	tokenPunct
	tokenComment
	// tokenAmbiguous is an element that is not terminated, or whose extent depends
	// on settings of the session that the scanner does not know.
	tokenAmbiguous
)

// token is a lexical element. text is a part of the scanned text; the case of words
// is unchanged.
type token struct {
	kind tokenKind
	text string
}

// scanner splits SQL text into tokens. It never fails: an element that is not
// terminated gives tokenAmbiguous.
type scanner struct {
	text string
	pos  int
}

func (s *scanner) next() token {
	s.skipSpace()
	if s.pos >= len(s.text) {
		return token{kind: tokenEnd}
	}
	start := s.pos
	kind := s.scanToken()
	return token{kind: kind, text: s.text[start:s.pos]}
}

func (s *scanner) skipSpace() {
	for s.pos < len(s.text) && isSpace(s.text[s.pos]) {
		s.pos++
	}
}

func (s *scanner) scanToken() tokenKind {
	c := s.text[s.pos]
	switch {
	case s.startsWith("--"):
		return s.scanLineComment()
	case s.startsWith("/*"):
		return s.scanBlockComment()
	case c == '\'':
		return s.scanString(false)
	case c == '"':
		return s.scanQuoted()
	case c == '$':
		return s.scanDollar()
	case isDigit(c):
		return s.scanNumber()
	case isWordStart(c):
		return s.scanWord()
	}
	s.pos++
	return tokenPunct
}

func (s *scanner) startsWith(prefix string) bool {
	return strings.HasPrefix(s.text[s.pos:], prefix)
}

func (s *scanner) scanLineComment() tokenKind {
	end := strings.IndexAny(s.text[s.pos:], "\r\n")
	if end < 0 {
		s.pos = len(s.text)
		return tokenComment
	}
	s.pos += end
	return tokenComment
}

// scanBlockComment reads a block comment, which may contain nested ones.
func (s *scanner) scanBlockComment() tokenKind {
	depth := 0
	for s.pos < len(s.text) {
		switch {
		case s.startsWith("/*"):
			depth++
			s.pos += len("/*")
		case s.startsWith("*/"):
			depth--
			s.pos += len("*/")
		default:
			s.pos++
		}
		if depth == 0 {
			return tokenComment
		}
	}
	return tokenAmbiguous
}

// scanString reads a string literal. escapes is true for the prefix E. In other
// literals the meaning of a backslash depends on standard_conforming_strings, so it
// gives tokenAmbiguous.
func (s *scanner) scanString(escapes bool) tokenKind {
	kind := tokenString
	s.pos++
	for s.pos < len(s.text) {
		c := s.text[s.pos]
		s.pos++
		switch {
		case c == '\\' && escapes:
			s.pos++
		case c == '\\':
			kind = tokenAmbiguous
		case c == '\'' && s.pos < len(s.text) && s.text[s.pos] == '\'':
			s.pos++
		case c == '\'':
			return kind
		}
	}
	s.pos = len(s.text)
	return tokenAmbiguous
}

// scanQuoted reads a quoted identifier.
func (s *scanner) scanQuoted() tokenKind {
	s.pos++
	for s.pos < len(s.text) {
		c := s.text[s.pos]
		s.pos++
		if c != '"' {
			continue
		}
		if s.pos >= len(s.text) || s.text[s.pos] != '"' {
			return tokenQuoted
		}
		s.pos++
	}
	return tokenAmbiguous
}

// scanDollar reads a parameter such as $1, or a dollar-quoted string.
func (s *scanner) scanDollar() tokenKind {
	end := s.pos + 1
	if end < len(s.text) && isDigit(s.text[end]) {
		s.pos++
		return s.scanNumber()
	}
	for end < len(s.text) && s.text[end] != '$' && isWordPart(s.text[end]) {
		end++
	}
	if end >= len(s.text) || s.text[end] != '$' {
		s.pos++
		return tokenPunct
	}
	quote := s.text[s.pos : end+1]
	closing := strings.Index(s.text[end+1:], quote)
	if closing < 0 {
		s.pos = len(s.text)
		return tokenAmbiguous
	}
	s.pos = end + 1 + closing + len(quote)
	return tokenString
}

func (s *scanner) scanNumber() tokenKind {
	for s.pos < len(s.text) && (isWordPart(s.text[s.pos]) || s.text[s.pos] == '.') {
		s.pos++
	}
	return tokenNumber
}

// scanWord reads an identifier or keyword, and the literals that start with a
// letter: E'...', B'...', X'...', N'...' and U&'...'.
func (s *scanner) scanWord() tokenKind {
	start := s.pos
	for s.pos < len(s.text) && isWordPart(s.text[s.pos]) {
		s.pos++
	}
	if s.pos-start > 1 || s.pos >= len(s.text) {
		return tokenWord
	}
	prefix := s.text[start] | lowerCaseBit
	switch {
	case s.text[s.pos] == '\'':
		return s.scanString(prefix == 'e')
	case prefix == 'u' && s.startsWith("&'"):
		s.pos++
		return s.scanString(false)
	case prefix == 'u' && s.startsWith("&\""):
		s.pos++
		return s.scanQuoted()
	}
	return tokenWord
}

// lowerCaseBit folds an ASCII letter to lower case.
const lowerCaseBit = 0x20

func isSpace(c byte) bool {
	return c == ' ' || c >= '\t' && c <= '\r'
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isWordStart(c byte) bool {
	lower := c | lowerCaseBit
	return lower >= 'a' && lower <= 'z' || c == '_' || c >= 0x80
}

func isWordPart(c byte) bool {
	return isWordStart(c) || isDigit(c) || c == '$'
}
