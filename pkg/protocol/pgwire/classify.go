package pgwire

import "strings"

// Class is what is known of the text of a query.
type Class struct {
	// Keyword is the first keyword, in lower case where the classifier knows it;
	// empty for an empty query.
	Keyword string
	// ReadOnly is true when the text is known to write nothing.
	ReadOnly bool
	// Multi is true when the text holds more than one statement.
	Multi bool
	// Broken is true when the text can't be read to its end with certainty.
	Broken bool
	// Begins is true for a single well-formed BEGIN or START TRANSACTION.
	Begins bool
	// EndsTransaction is true when the text may commit or roll back an
	// explicit transaction.
	EndsTransaction bool
	// Commits is true when the text may commit an explicit transaction.
	Commits bool
	// PlainEnd is true for a single COMMIT, END, ROLLBACK or ABORT that ends the
	// transaction and starts no other.
	PlainEnd bool
	// ChangesSession is true when the text may change state that outlives a
	// transaction.
	ChangesSession bool
	// ChangesMode is true when the text may turn a read-only transaction into
	// one that writes.
	ChangesMode bool
	// Deallocates is the statement that a single DEALLOCATE names; empty for
	// other texts and for DEALLOCATE ALL.
	Deallocates string
	// Unsupported names a feature that the proxy refuses; empty when none.
	Unsupported string
	// Tags are the sqlcommenter keys.
	Tags Tags
}

// Empty reports whether the text holds no statement.
func (c *Class) Empty() bool { return c.Keyword == "" && !c.Broken }

// Classify reads the text of a query. It errs towards a statement that writes
// and changes the session.
func Classify(text string) Class {
	c := classifier{scanner: scanner{text: text}}
	c.run()
	return c.finish()
}

// Words of a BEGIN statement are kept up to this number.
const maxBeginWords = 16

type classifier struct {
	scanner scanner
	class   Class
	// statement state
	first      string
	statements int
	words      []string
	wordBuf    [maxBeginWords]string
	writes     bool
	callsOther bool
	temporary  bool
	afterInto  bool
	previous   token
	beforeThat token
}

func (c *classifier) run() {
	c.words = c.wordBuf[:0]
	for {
		t := c.scanner.next()
		switch t.kind {
		case tokenEnd:
			return
		case tokenComment:
			c.class.Tags.addComment(t.text)
			continue
		case tokenBroken:
			c.class.Broken = true
		}
		c.add(t)
	}
}

func (c *classifier) add(t token) {
	if t.kind == tokenPunct && t.text == ";" {
		c.first = ""
		c.beforeThat = c.previous
		c.previous = t
		return
	}
	if c.first == "" {
		c.startStatement(t)
	}
	switch {
	case t.kind == tokenWord:
		c.addWord(fold(t.text))
	case t.kind == tokenPunct && t.text == "(":
		c.addParenthesis()
	}
	c.beforeThat = c.previous
	c.previous = t
}

func (c *classifier) startStatement(t token) {
	c.statements++
	c.first = t.text
	if t.kind == tokenWord {
		c.first = fold(t.text)
	}
	if c.statements == 1 {
		c.class.Keyword = c.first
	}
	switch c.first {
	case "copy":
		c.class.Unsupported = "COPY"
	case "commit", "end":
		c.class.Commits = true
		c.class.EndsTransaction = true
	case "rollback", "abort":
		c.class.EndsTransaction = true
	}
	if sessionKeywords.has(c.first) {
		c.class.ChangesSession = true
	}
	if c.first == "set" {
		c.class.ChangesMode = true
	}
}

func (c *classifier) addWord(word string) {
	if len(c.words) < maxBeginWords {
		c.words = append(c.words, word)
	}
	if writingWords.has(word) {
		c.writes = true
	}
	switch word {
	case "temp", "temporary":
		c.temporary = true
	case "prepared":
		c.noteTwoPhase()
	case "transaction":
		if c.first == "prepare" {
			c.class.Unsupported = "PREPARE TRANSACTION"
		}
	}
	c.noteInto(word)
}

func (c *classifier) noteTwoPhase() {
	if c.first == "commit" || c.first == "rollback" {
		c.class.Unsupported = "two-phase commit"
	}
}

// noteInto keeps track of the name after INSERT INTO, whose column list is no
// function call.
func (c *classifier) noteInto(word string) {
	if word == "into" {
		c.afterInto = true
		return
	}
	isName := c.previous.kind == tokenWord && strings.EqualFold(c.previous.text, "into")
	isPart := c.previous.kind == tokenPunct && c.previous.text == "."
	c.afterInto = c.afterInto && (isName || isPart)
}

func (c *classifier) addParenthesis() {
	switch c.previous.kind {
	case tokenQuoted:
		c.callsOther = c.callsOther || !c.afterInto
	case tokenWord:
		c.addCall()
	}
	c.afterInto = false
}

func (c *classifier) addCall() {
	if c.afterInto {
		return
	}
	isQualified := c.beforeThat.kind == tokenPunct && c.beforeThat.text == "."
	if isQualified || !pureFunctions.has(fold(c.previous.text)) {
		c.callsOther = true
	}
}

func (c *classifier) finish() Class {
	class := c.class
	class.Multi = c.statements > 1
	if c.callsOther || c.temporary || class.Broken {
		class.ChangesSession = true
		class.ChangesMode = true
	}
	if class.Broken || class.Multi {
		class.Commits = true
		class.EndsTransaction = true
		return class
	}
	c.finishSingle(&class)
	return class
}

func (c *classifier) finishSingle(class *Class) {
	switch class.Keyword {
	case "select":
		class.ReadOnly = !c.writes && !c.callsOther
	case "show":
		class.ReadOnly = true
	case "begin", "start":
		options, ok := parseBegin(c.words)
		class.Begins = ok && len(c.words) < maxBeginWords
		class.ReadOnly = class.Begins && options.readOnly
	case "set":
		c.finishSet(class)
	case "commit", "end", "rollback", "abort":
		class.PlainEnd = isPlainEnd(c.words)
	case "deallocate":
		class.Deallocates = c.lastName()
	}
}

// lastName returns the name that ends the statement, unless it is ALL.
func (c *classifier) lastName() string {
	last := c.previous
	if last.kind == tokenPunct && last.text == ";" {
		last = c.beforeThat
	}
	switch {
	case last.kind == tokenQuoted:
		name := strings.TrimSuffix(strings.TrimPrefix(last.text, "\""), "\"")
		return strings.ReplaceAll(name, "\"\"", "\"")
	case last.kind == tokenWord && fold(last.text) != "all":
		return strings.ToLower(last.text)
	}
	return ""
}

func isPlainEnd(words []string) bool {
	if len(words) == 2 {
		return words[1] == "work" || words[1] == "transaction"
	}
	return len(words) == 1
}

// finishSet finds the forms of SET whose effect ends with the transaction.
func (c *classifier) finishSet(class *Class) {
	if len(c.words) < 2 {
		return
	}
	switch c.words[1] {
	case "local", "transaction":
		class.ChangesSession = false
	case "constraints":
		class.ChangesSession = false
		class.ChangesMode = false
	}
}

type beginOptions struct {
	readOnly bool
}

// parseBegin accepts the words of a well-formed BEGIN or START TRANSACTION.
func parseBegin(words []string) (beginOptions, bool) {
	options := beginOptions{}
	rest := words[1:]
	switch {
	case words[0] == "start":
		if len(rest) == 0 || rest[0] != "transaction" {
			return options, false
		}
		rest = rest[1:]
	case len(rest) > 0 && (rest[0] == "work" || rest[0] == "transaction"):
		rest = rest[1:]
	}
	for len(rest) > 0 {
		used := beginMode(rest, &options)
		if used == 0 {
			return options, false
		}
		rest = rest[used:]
	}
	return options, true
}

// beginModes are the transaction modes of BEGIN.
var beginModes = [][]string{
	{"isolation", "level", "serializable"},
	{"isolation", "level", "repeatable", "read"},
	{"isolation", "level", "read", "committed"},
	{"isolation", "level", "read", "uncommitted"},
	{"read", "write"},
	{"read", "only"},
	{"not", "deferrable"},
	{"deferrable"},
}

// beginMode returns the number of words of the mode at the start of words, or
// zero.
func beginMode(words []string, options *beginOptions) int {
	for _, mode := range beginModes {
		if !hasPrefix(words, mode) {
			continue
		}
		if mode[0] == "read" {
			options.readOnly = mode[1] == "only"
		}
		return len(mode)
	}
	return 0
}

func hasPrefix(words, prefix []string) bool {
	if len(words) < len(prefix) {
		return false
	}
	for i := range prefix {
		if words[i] != prefix[i] {
			return false
		}
	}
	return true
}
