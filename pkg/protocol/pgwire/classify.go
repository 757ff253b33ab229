package pgwire

import "strings"

// Class is the classification of the text of a query. Where the text does not tell
// for certain, the fields named May... are true and ReadOnly is false.
type Class struct {
	// Keyword is the first keyword, in lower case if the classifier knows it, and
	// empty for an empty query.
	Keyword string
	// ReadOnly is true when the text certainly writes nothing.
	ReadOnly bool
	// MultipleStatements is true when the text holds more than one statement.
	MultipleStatements bool
	// Ambiguous is true when the text cannot be split into tokens with certainty:
	// an element is not terminated or depends on settings of the session.
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
	// DeallocatedName is the prepared statement that a single DEALLOCATE names. It
	// is empty for other texts and for DEALLOCATE ALL.
	DeallocatedName string
	// Unsupported names a feature that the proxy refuses; empty when none.
	Unsupported string
	// Tags are the values of the sqlcommenter keys in comments.
	Tags Tags
}

// Empty reports whether the text holds no statement.
func (c *Class) Empty() bool { return c.Keyword == "" && !c.Ambiguous }

// Classify classifies the text of a query. In case of doubt the text counts as one
// that writes and changes the session.
func Classify(text string) Class {
	c := classifier{scanner: scanner{text: text}}
	c.run()
	return c.finish()
}

// maxBeginWords bounds the words that are kept of a text to parse a BEGIN; a longer
// BEGIN counts as malformed.
const maxBeginWords = 16

// classifier holds the state of Classify.
type classifier struct {
	scanner scanner
	class   Class
	// first is the first token of the statement that is being read.
	first       string
	statements  int
	words       []string
	wordBuf     [maxBeginWords]string
	writes      bool
	callsImpure bool
	temporary   bool
	// afterInto is true between INTO and the end of the name that follows it.
	afterInto bool
	// previous is the last token, and beforePrevious the one before it.
	previous       token
	beforePrevious token
}

// run reads all tokens of the text.
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
		case tokenAmbiguous:
			c.class.Ambiguous = true
		}
		c.add(t)
	}
}

func (c *classifier) add(t token) {
	if t.kind == tokenPunct && t.text == ";" {
		c.first = ""
		c.beforePrevious = c.previous
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
	c.beforePrevious = c.previous
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
		c.checkTwoPhase()
	case "transaction":
		if c.first == "prepare" {
			c.class.Unsupported = "PREPARE TRANSACTION"
		}
	}
	c.trackInto(word)
}

func (c *classifier) checkTwoPhase() {
	if c.first == "commit" || c.first == "rollback" {
		c.class.Unsupported = "two-phase commit"
	}
}

// trackInto updates afterInto. The parenthesis after the name in INSERT INTO starts
// a list of columns, not the arguments of a function.
func (c *classifier) trackInto(word string) {
	if word == "into" {
		c.afterInto = true
		return
	}
	isName := c.previous.kind == tokenWord && strings.EqualFold(c.previous.text, "into")
	isQualifier := c.previous.kind == tokenPunct && c.previous.text == "."
	c.afterInto = c.afterInto && (isName || isQualifier)
}

// addParenthesis handles an opening parenthesis, which may start the arguments of a
// function.
func (c *classifier) addParenthesis() {
	switch c.previous.kind {
	case tokenQuoted:
		c.callsImpure = c.callsImpure || !c.afterInto
	case tokenWord:
		c.addCall()
	}
	c.afterInto = false
}

// addCall handles the call of a function without quotes. Any function that is not
// known as pure may write or change the session.
func (c *classifier) addCall() {
	if c.afterInto {
		return
	}
	isQualified := c.beforePrevious.kind == tokenPunct && c.beforePrevious.text == "."
	if isQualified || !pureFunctions.has(fold(c.previous.text)) {
		c.callsImpure = true
	}
}

// finish returns the classification after all tokens have been read.
func (c *classifier) finish() Class {
	class := c.class
	class.MultipleStatements = c.statements > 1
	if c.callsImpure || c.temporary || class.Ambiguous {
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

// finishSingle sets the fields that only a single statement can have.
func (c *classifier) finishSingle(class *Class) {
	switch class.Keyword {
	case "select":
		class.ReadOnly = !c.writes && !c.callsImpure
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

// lastName returns the name at the end of the statement without its quotes, or an
// empty string if the statement ends with ALL or with no name.
func (c *classifier) lastName() string {
	last := c.previous
	if last.kind == tokenPunct && last.text == ";" {
		last = c.beforePrevious
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

// isPlainEnd reports whether words are a COMMIT, END, ROLLBACK or ABORT without
// further options.
func isPlainEnd(words []string) bool {
	if len(words) == 2 {
		return words[1] == "work" || words[1] == "transaction"
	}
	return len(words) == 1
}

// finishSet corrects the classification for the forms of SET whose effect ends with
// the transaction.
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
