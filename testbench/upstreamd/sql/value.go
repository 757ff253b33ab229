package sql

import (
	"encoding/binary"
	"math"
	"strconv"
)

// Type is a PostgreSQL type OID.
type Type uint32

// The types of values.
const (
	TypeBool   Type = 16
	TypeInt8   Type = 20
	TypeInt4   Type = 23
	TypeText   Type = 25
	TypeFloat8 Type = 701
	TypeVoid   Type = 2278
	TypeLSN    Type = 3220
)

// Formats of values on the wire.
const (
	FormatText   int16 = 0
	FormatBinary int16 = 1
)

const (
	int4Bytes   = 4
	wide8Bytes  = 8
	float64Bits = 64
)

// Value is a typed value in PostgreSQL's text form.
type Value struct {
	Type Type
	Text string
	Null bool
}

// Null returns the null of a type.
func Null(t Type) Value { return Value{Type: t, Null: true} }

// Text returns a text value.
func Text(s string) Value { return Value{Type: TypeText, Text: s} }

// Int8 returns a bigint value.
func Int8(n int64) Value { return Value{Type: TypeInt8, Text: strconv.FormatInt(n, 10)} }

// Int4 returns an integer value.
func Int4(n int64) Value { return Value{Type: TypeInt4, Text: strconv.FormatInt(n, 10)} }

// Bool returns a boolean value.
func Bool(b bool) Value {
	if b {
		return Value{Type: TypeBool, Text: "t"}
	}
	return Value{Type: TypeBool, Text: "f"}
}

// IsTrue reports whether v is the boolean true.
func (v Value) IsTrue() bool { return !v.Null && (v.Text == "t" || v.Text == "true") }

// Float returns the value as a number.
func (v Value) Float() (float64, error) {
	number, err := strconv.ParseFloat(v.Text, float64Bits)
	if err != nil {
		return 0, Errorf(CodeInvalidText, "invalid input syntax for type double precision: %q", v.Text)
	}
	return number, nil
}

// Encode returns the value's wire form, nil for null.
func (v Value) Encode(format int16) []byte {
	if v.Null {
		return nil
	}
	if format == FormatText {
		return []byte(v.Text)
	}
	switch v.Type {
	case TypeBool:
		if v.IsTrue() {
			return []byte{1}
		}
		return []byte{0}
	case TypeInt4:
		number, _ := strconv.ParseInt(v.Text, 10, 64)
		return binary.BigEndian.AppendUint32(nil, uint32(number))
	case TypeInt8:
		number, _ := strconv.ParseInt(v.Text, 10, 64)
		return binary.BigEndian.AppendUint64(nil, uint64(number))
	case TypeFloat8:
		number, _ := strconv.ParseFloat(v.Text, float64Bits)
		return binary.BigEndian.AppendUint64(nil, math.Float64bits(number))
	default:
		return []byte(v.Text)
	}
}

// Decode reads a parameter's wire form; nil is null.
func Decode(raw []byte, t Type, format int16) (Value, error) {
	if raw == nil {
		return Null(t), nil
	}
	if format == FormatText {
		return Value{Type: t, Text: string(raw)}, nil
	}
	switch {
	case t == TypeInt4 && len(raw) == int4Bytes:
		return Int4(int64(int32(binary.BigEndian.Uint32(raw)))), nil
	case t == TypeInt8 && len(raw) == wide8Bytes:
		return Int8(int64(binary.BigEndian.Uint64(raw))), nil
	case t == TypeFloat8 && len(raw) == wide8Bytes:
		number := math.Float64frombits(binary.BigEndian.Uint64(raw))
		return Value{Type: t, Text: strconv.FormatFloat(number, 'g', -1, float64Bits)}, nil
	case t == TypeBool && len(raw) == 1:
		return Bool(raw[0] == 1), nil
	case t == TypeText:
		return Text(string(raw)), nil
	}
	return Value{}, Errorf(CodeUnsupported, "binary parameter of type %d with %d bytes", t, len(raw))
}
