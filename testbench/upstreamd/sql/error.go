package sql

import "fmt"

// SQLSTATEs that the stand-in returns, from PostgreSQL's Appendix A.
const (
	CodeSyntax              = "42601"
	CodeUndefinedTable      = "42P01"
	CodeUndefinedColumn     = "42703"
	CodeUndefinedFunction   = "42883"
	CodeUndefinedParameter  = "42P02"
	CodeUndefinedStatement  = "26000"
	CodeUndefinedCursor     = "34000"
	CodeUnsupported         = "0A000"
	CodeReadOnly            = "25006"
	CodeFailedTransaction   = "25P02"
	CodeNotInState          = "55000"
	CodeUniqueViolation     = "23505"
	CodeInvalidText         = "22P02"
	CodeCancelled           = "57014"
	CodeLockTimeout         = "55P03"
	CodeTooManyConnections  = "53300"
	CodeInvalidPassword     = "28P01"
	CodeUndefinedDatabase   = "3D000"
	CodeProtocolViolation   = "08P01"
	CodeDuplicatedStatement = "42P05"
)

// Error is an error with the SQLSTATE that the client sees.
type Error struct {
	Code    string
	Message string
}

// Error returns the message and its SQLSTATE.
func (e *Error) Error() string { return e.Message + " (SQLSTATE " + e.Code + ")" }

// Errorf returns an Error with the given SQLSTATE.
func Errorf(code, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...)}
}
