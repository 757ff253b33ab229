package upstreamd

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"gypsumdock/testbench/upstreamd/sql"
)

// prepared is a prepared statement. Its statement is nil for an empty query.
type prepared struct {
	text      string
	statement sql.Statement
	params    []sql.Type
}

// portal is a bound statement. Its result is nil until it is executed.
type portal struct {
	source  *prepared
	params  []sql.Value
	formats []int16
	result  *result
}

// extended handles a message of the extended query flow.
func (c *conn) extended(message pgproto3.FrontendMessage) error {
	switch m := message.(type) {
	case *pgproto3.Parse:
		return c.parse(m)
	case *pgproto3.Bind:
		return c.bind(m)
	case *pgproto3.Describe:
		return c.describe(m)
	case *pgproto3.Execute:
		return c.executePortal(m)
	case *pgproto3.Close:
		return c.closeObject(m)
	}
	return sql.Errorf(sql.CodeProtocolViolation, "unsupported message %T", message)
}

func (c *conn) parse(m *pgproto3.Parse) error {
	if _, exists := c.prepared[m.Name]; exists && m.Name != "" {
		return sql.Errorf(sql.CodeDuplicatedStatement, "prepared statement %q already exists", m.Name)
	}
	statements, err := sql.Parse(m.Query)
	if err != nil {
		return err
	}
	if len(statements) > 1 {
		return sql.Errorf(sql.CodeSyntax, "cannot insert multiple commands into a prepared statement")
	}
	source := &prepared{text: m.Query}
	if len(statements) == 1 {
		source.statement = statements[0]
		source.params = sql.Params(statements[0])
	}
	for i, oid := range m.ParameterOIDs {
		if oid != 0 && i < len(source.params) {
			source.params[i] = sql.Type(oid)
		}
	}
	c.prepared[m.Name] = source
	c.backend.Send(&pgproto3.ParseComplete{})
	return nil
}

func (c *conn) bind(m *pgproto3.Bind) error {
	source, found := c.prepared[m.PreparedStatement]
	if !found {
		return sql.Errorf(sql.CodeUndefinedStatement, "prepared statement %q does not exist", m.PreparedStatement)
	}
	if len(m.Parameters) != len(source.params) {
		return sql.Errorf(sql.CodeProtocolViolation, "bind message supplies %d parameters, but needs %d",
			len(m.Parameters), len(source.params))
	}
	bound := &portal{source: source, formats: append([]int16(nil), m.ResultFormatCodes...)}
	for i, raw := range m.Parameters {
		value, err := sql.Decode(raw, source.params[i], formatOf(m.ParameterFormatCodes, i))
		if err != nil {
			return err
		}
		bound.params = append(bound.params, value)
	}
	c.portals[m.DestinationPortal] = bound
	c.backend.Send(&pgproto3.BindComplete{})
	return nil
}

func (c *conn) describe(m *pgproto3.Describe) error {
	if m.ObjectType == 'P' {
		described, found := c.portals[m.Name]
		if !found {
			return sql.Errorf(sql.CodeUndefinedCursor, "portal %q does not exist", m.Name)
		}
		c.sendDescription(described.source, described.formats)
		return nil
	}
	source, found := c.prepared[m.Name]
	if !found {
		return sql.Errorf(sql.CodeUndefinedStatement, "prepared statement %q does not exist", m.Name)
	}
	description := &pgproto3.ParameterDescription{}
	for _, t := range source.params {
		description.ParameterOIDs = append(description.ParameterOIDs, uint32(t))
	}
	c.backend.Send(description)
	c.sendDescription(source, nil)
	return nil
}

func (c *conn) sendDescription(source *prepared, formats []int16) {
	columns := sql.Columns(source.statement)
	if columns == nil {
		c.backend.Send(&pgproto3.NoData{})
		return
	}
	c.backend.Send(describeColumns(columns, formats))
}

func (c *conn) executePortal(m *pgproto3.Execute) error {
	bound, found := c.portals[m.Portal]
	if !found {
		return sql.Errorf(sql.CodeUndefinedCursor, "portal %q does not exist", m.Portal)
	}
	if bound.source.statement == nil {
		c.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	if bound.result == nil {
		c.exec.text, c.exec.params = bound.source.text, bound.params
		res, err := c.run(bound.source.statement, bound.source.text)
		if err != nil {
			return err
		}
		bound.result = &res
	}
	_, err := c.sendRows(*bound.result, bound.formats, int(m.MaxRows))
	return err
}

func (c *conn) closeObject(m *pgproto3.Close) error {
	if m.ObjectType == 'P' {
		delete(c.portals, m.Name)
	} else {
		delete(c.prepared, m.Name)
	}
	c.backend.Send(&pgproto3.CloseComplete{})
	return nil
}
