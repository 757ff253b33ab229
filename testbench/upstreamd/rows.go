package upstreamd

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"gypsumdock/testbench/upstreamd/sql"
)

// sendRows sends up to limit rows, or all when limit is 0, and reports whether
// the result is at its end.
func (c *conn) sendRows(res result, formats []int16, limit int) (bool, error) {
	for sent := 0; res.next != nil; sent++ {
		if limit > 0 && sent == limit {
			c.backend.Send(&pgproto3.PortalSuspended{})
			return false, nil
		}
		row, more := res.next()
		if !more {
			break
		}
		c.backend.Send(encodeRow(row, formats))
		if sent%flushRows == flushRows-1 {
			if err := c.flush(); err != nil {
				return false, err
			}
		}
	}
	c.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(res.tag)})
	return true, nil
}

func encodeRow(row []sql.Value, formats []int16) *pgproto3.DataRow {
	encoded := &pgproto3.DataRow{Values: make([][]byte, 0, len(row))}
	for i, value := range row {
		encoded.Values = append(encoded.Values, value.Encode(formatOf(formats, i)))
	}
	return encoded
}

// formatOf follows the protocol: no code is text, one code holds for all.
func formatOf(formats []int16, i int) int16 {
	switch {
	case len(formats) == 0:
		return sql.FormatText
	case len(formats) == 1:
		return formats[0]
	case i < len(formats):
		return formats[i]
	default:
		return sql.FormatText
	}
}

func describeColumns(items []sql.Item, formats []int16) *pgproto3.RowDescription {
	description := &pgproto3.RowDescription{}
	for i, item := range items {
		description.Fields = append(description.Fields, pgproto3.FieldDescription{
			Name:         []byte(item.Name),
			DataTypeOID:  uint32(sql.TypeOf(item.Expr)),
			DataTypeSize: -1,
			TypeModifier: -1,
			Format:       formatOf(formats, i),
		})
	}
	return description
}
