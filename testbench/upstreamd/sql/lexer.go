package sql

import "strings"

type tokenKind uint8

const (
	tokenEnd tokenKind = iota
	tokenWord
	tokenQuoted
	tokenString
	tokenNumber
	tokenParam
	tokenSymbol
)

type token struct {
	kind tokenKind
	// text is the token's content; words are in lower case.
	text string
}

// twoByteSymbols are the operators of two bytes; all others have one.
var twoByteSymbols = []string{"::", "<>", "!=", "<=", ">=", "||"}

type lexer struct {
	input string
	at    int
}

// tokenise splits text into tokens, without comments.
func tokenise(text string) ([]token, error) {
	lex := lexer{input: text}
	var tokens []token
	for {
		next, err := lex.next()
		if err != nil {
			return nil, err
		}
		if next.kind == tokenEnd {
			return tokens, nil
		}
		tokens = append(tokens, next)
	}
}

func (l *lexer) next() (token, error) {
	if err := l.skipBlank(); err != nil {
		return token{}, err
	}
	if l.at >= len(l.input) {
		return token{kind: tokenEnd}, nil
	}
	first := l.input[l.at]
	switch {
	case first == '\'':
		return l.quoted('\'', tokenString)
	case first == '"':
		return l.quoted('"', tokenQuoted)
	case first == '$':
		l.at++
		return token{tokenParam, l.run(isDigit)}, nil
	case isDigit(first):
		return token{tokenNumber, l.run(isNumberByte)}, nil
	case isWordByte(first):
		return token{tokenWord, strings.ToLower(l.run(isWordByte))}, nil
	}
	return l.symbol(), nil
}

func (l *lexer) symbol() token {
	for _, symbol := range twoByteSymbols {
		if strings.HasPrefix(l.input[l.at:], symbol) {
			l.at += len(symbol)
			return token{tokenSymbol, symbol}
		}
	}
	l.at++
	return token{tokenSymbol, l.input[l.at-1 : l.at]}
}

func (l *lexer) quoted(quote byte, kind tokenKind) (token, error) {
	var content strings.Builder
	for l.at++; l.at < len(l.input); l.at++ {
		if l.input[l.at] != quote {
			content.WriteByte(l.input[l.at])
			continue
		}
		doubled := l.at+1 < len(l.input) && l.input[l.at+1] == quote
		if !doubled {
			l.at++
			return token{kind, content.String()}, nil
		}
		content.WriteByte(quote)
		l.at++
	}
	return token{}, Errorf(CodeSyntax, "unterminated quoted string")
}

func (l *lexer) skipBlank() error {
	for l.at < len(l.input) {
		rest := l.input[l.at:]
		switch {
		case strings.HasPrefix(rest, "--"):
			l.skipLine(rest)
		case strings.HasPrefix(rest, "/*"):
			end := strings.Index(rest, "*/")
			if end < 0 {
				return Errorf(CodeSyntax, "unterminated comment")
			}
			l.at += end + len("*/")
		case isBlank(rest[0]):
			l.at++
		default:
			return nil
		}
	}
	return nil
}

func (l *lexer) skipLine(rest string) {
	end := strings.IndexByte(rest, '\n')
	if end < 0 {
		end = len(rest)
	}
	l.at += end
}

func (l *lexer) run(accept func(byte) bool) string {
	start := l.at
	for l.at < len(l.input) && accept(l.input[l.at]) {
		l.at++
	}
	return l.input[start:l.at]
}

func isBlank(b byte) bool      { return b == ' ' || b == '\t' || b == '\n' || b == '\r' }
func isDigit(b byte) bool      { return b >= '0' && b <= '9' }
func isNumberByte(b byte) bool { return isDigit(b) || b == '.' }

func isWordByte(b byte) bool {
	return isDigit(b) || b == '_' || b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= 0x80
}
