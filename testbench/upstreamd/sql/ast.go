package sql

// Statement is a parsed statement. The types below are all there are.
type Statement interface{ isStatement() }

// Begin opens a transaction.
type Begin struct{ ReadOnly bool }

// Commit ends a transaction.
type Commit struct{}

// Rollback ends a transaction and drops its changes.
type Rollback struct{}

// Set changes a setting of the session; the stand-in accepts and ignores it.
type Set struct{ ReadOnly bool }

// Show returns a setting.
type Show struct{ Name string }

// Discard resets the session.
type Discard struct{ All bool }

// Deallocate drops a prepared statement, or all with an empty name.
type Deallocate struct{ Name string }

// Insert adds records.
type Insert struct {
	Rows       []InsertRow
	OnConflict Conflict
	Returning  []Item
}

// InsertRow is the row of an Insert.
type InsertRow struct{ Key, Value Expr }

// Conflict says what an Insert does with a key that exists.
type Conflict uint8

// The ways to treat a conflict.
const (
	ConflictFails Conflict = iota
	ConflictIgnored
	ConflictUpdates
)

// Update changes the values of records.
type Update struct {
	Value     Expr
	Where     []Condition
	Returning []Item
}

// Delete removes records.
type Delete struct {
	Where     []Condition
	Returning []Item
}

// Select reads records, or evaluates expressions.
type Select struct {
	Items []Item
	// FromRecords reads the table; otherwise From is a function or nil.
	FromRecords bool
	From        *Call
	Where       []Condition
	// Limit is nil without a limit.
	Limit     Expr
	ForUpdate bool
}

// Condition compares a column with a value; conditions are joined by AND.
type Condition struct {
	Column Column
	Equals Expr
}

// Item is an expression of a result with the name of its column.
type Item struct {
	Expr Expr
	Name string
}

func (Begin) isStatement()      {}
func (Commit) isStatement()     {}
func (Rollback) isStatement()   {}
func (Set) isStatement()        {}
func (Show) isStatement()       {}
func (Discard) isStatement()    {}
func (Deallocate) isStatement() {}
func (Insert) isStatement()     {}
func (Update) isStatement()     {}
func (Delete) isStatement()     {}
func (Select) isStatement()     {}

// Expr is an expression. The types below are all there are.
type Expr interface{ isExpr() }

// Literal is a constant.
type Literal struct{ Value Value }

// Param is a parameter, numbered from 1.
type Param struct{ Number int }

// Column names a column.
type Column string

// The columns of the table of records.
const (
	ColumnKey   Column = "key"
	ColumnValue Column = "value"
)

// Call calls a function; the star of count(*) is no argument.
type Call struct {
	Name string
	Args []Expr
}

// Field takes a field of a composite value.
type Field struct {
	Of   Expr
	Name string
}

// Case is a searched CASE.
type Case struct {
	Branches []Branch
	Else     Expr
}

// Branch is one WHEN of a Case.
type Branch struct{ When, Then Expr }

// Binary applies an operator.
type Binary struct {
	Operator    string
	Left, Right Expr
}

// Cast changes the type of a value.
type Cast struct {
	Of Expr
	To Type
}

func (Literal) isExpr() {}
func (Param) isExpr()   {}
func (Column) isExpr()  {}
func (Call) isExpr()    {}
func (Field) isExpr()   {}
func (Case) isExpr()    {}
func (Binary) isExpr()  {}
func (Cast) isExpr()    {}

// ViewWALReceiver is PostgreSQL's view of the connection to the primary. It
// has one row on a replica that streams, and none otherwise.
const ViewWALReceiver = "pg_stat_wal_receiver"

// ViewActivity is PostgreSQL's view of the server's connections. It can be
// searched by ColumnApplication only.
const ViewActivity = "pg_stat_activity"

// ColumnApplication is the name that a client gave at its start.
const ColumnApplication Column = "application_name"
