package pgfront

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/jackc/pgx/v5/pgproto3"

	"gypsumdock/pkg/protocol/pgwire"
)

// statementPrefix starts the names of prepared statements on upstream connections.
const statementPrefix = "gypsumdock_"

// nameHashBytes is the length of the content hash in a statement's upstream name.
const nameHashBytes = 16

// statement is a prepared statement of a caller. It is immutable.
type statement struct {
	// upstreamName is the name on upstream connections: a hash of the content, or
	// empty for the unnamed statement.
	upstreamName string
	query        string
	types        []uint32
	class        pgwire.Class
}

func newStatement(message *pgproto3.Parse) *statement {
	stmt := &statement{
		query: message.Query,
		types: append([]uint32(nil), message.ParameterOIDs...),
		class: pgwire.Classify(message.Query),
	}
	if message.Name != "" {
		stmt.upstreamName = statementName(stmt.query, stmt.types)
	}
	return stmt
}

// statementName returns the upstream name, which depends only on the content, so
// that callers share identical statements.
func statementName(query string, types []uint32) string {
	content := make([]byte, 0, len(query)+4*len(types)+4)
	for _, oid := range types {
		content = binary.BigEndian.AppendUint32(content, oid)
	}
	content = binary.BigEndian.AppendUint32(content, uint32(len(types)))
	content = append(content, query...)
	sum := sha256.Sum256(content)
	return statementPrefix + hex.EncodeToString(sum[:nameHashBytes])
}

func (s *statement) parseMessage() *pgproto3.Parse {
	return &pgproto3.Parse{Name: s.upstreamName, Query: s.query, ParameterOIDs: s.types}
}
