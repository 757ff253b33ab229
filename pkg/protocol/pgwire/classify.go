package pgwire

import "strings"

// Class is what is known of the text of a query.
type Class struct {
	// Keyword is the first keyword, in lower case where the classifier knows it;
	// empty for an empty query.
	Keyword string
	// ReadOnly is true when the text is known to write nothing.
	ReadOnly bool
	// MultipleStatements is true when the text holds more than one statement.
	MultipleStatements bool
	// Ambiguous is true when the text can't be read to its end with certainty.
	Ambiguous bool
	// BeginsTransaction is true for a single well-formed BEGIN or START TRANSACTION.
	BeginsTransaction bool
	// MayEndTransaction is true when the text may commit or roll back an
	// explicit transaction.
	MayEndTransaction bool
	// MayCommit is true when the text may commit an explicit transaction.
	MayCommit bool
	// PlainEnd is true for a single COMMIT, END, ROLLBACK or ABORT that ends the
	// transaction and starts no other.
	PlainEnd bool
	// MayChangeSession is true when the text may change state that outlives a
	// transaction.
	MayChangeSession bool
	// MayEnableWrites is true when the text may turn a read-only transaction into
	// one that writes.
	MayEnableWrites bool
	// DeallocatedName is the statement that a single DEALLOCATE names; empty for
	// other texts and for DEALLOCATE ALL.
	DeallocatedName string
	// Unsupported names a feature that the proxy refuses; empty when none.
	Unsupported string
	// Tags are the sqlcommenter keys.
	Tags Tags
}

// Empty reports whether the text holds no statement.
func (c *Class) Empty() bool { return c.Keyword == "" && !c.Ambiguous }

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
			c.class.Ambiguous = true
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
		c.class.MayCommit = true
		c.class.MayEndTransaction = true
	case "rollback", "abort":
		c.class.MayEndTransaction = true
	}
	if sessionKeywords.has(c.first) {
		c.class.MayChangeSession = true
	}
	if c.first == "set" {
		c.class.MayEnableWrites = true
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
	class.MultipleStatements = c.statements > 1
	if c.callsOther || c.temporary || class.Ambiguous {
		class.MayChangeSession = true
		class.MayEnableWrites = true
	}
	if class.Ambiguous || class.MultipleStatements {
		class.MayCommit = true
		class.MayEndTransaction = true
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
		class.BeginsTransaction = ok && len(c.words) < maxBeginWords
		class.ReadOnly = class.BeginsTransaction && options.readOnly
	case "set":
		c.finishSet(class)
	case "commit", "end", "rollback", "abort":
		class.PlainEnd = isPlainEnd(c.words)
	case "deallocate":
		class.DeallocatedName = c.lastName()
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
		class.MayChangeSession = false
	case "constraints":
		class.MayChangeSession = false
		class.MayEnableWrites = false
	}
}
