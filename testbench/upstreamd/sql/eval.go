package sql

import "strconv"

// Env gives an expression its surroundings.
type Env interface {
	// Column returns the value of a column of the current row.
	Column(name Column) (Value, error)
	// Call calls a function.
	Call(name string, args []Value) (Value, error)
	// Field calls a function and takes a field of its result.
	Field(function, field string) (Value, error)
	// Param returns a parameter, numbered from 1.
	Param(number int) (Value, error)
}

// Eval evaluates expr. CASE and COALESCE evaluate only what they need.
func Eval(expr Expr, env Env) (Value, error) {
	switch e := expr.(type) {
	case Literal:
		return e.Value, nil
	case Param:
		return env.Param(e.Number)
	case Column:
		return env.Column(e)
	case Cast:
		return evalCast(e, env)
	case Field:
		return evalField(e, env)
	case Case:
		return evalCase(e, env)
	case Binary:
		return evalBinary(e, env)
	case Call:
		return evalCall(e, env)
	}
	return Value{}, Errorf(CodeUnsupported, "unsupported expression")
}

func evalCast(e Cast, env Env) (Value, error) {
	value, err := Eval(e.Of, env)
	if err != nil {
		return Value{}, err
	}
	if e.To == TypeText && value.Type == TypeBool && !value.Null {
		value.Text = strconv.FormatBool(value.IsTrue())
	}
	value.Type = e.To
	return value, nil
}

func evalField(e Field, env Env) (Value, error) {
	if call, isCall := e.Of.(Call); isCall {
		return env.Field(call.Name, e.Name)
	}
	return env.Column(Column(e.Name))
}

func evalCase(e Case, env Env) (Value, error) {
	for _, branch := range e.Branches {
		when, err := Eval(branch.When, env)
		if err != nil {
			return Value{}, err
		}
		if when.IsTrue() {
			return Eval(branch.Then, env)
		}
	}
	if e.Else == nil {
		return Null(TypeOf(e)), nil
	}
	return Eval(e.Else, env)
}

func evalCall(e Call, env Env) (Value, error) {
	args := make([]Value, 0, len(e.Args))
	for _, arg := range e.Args {
		value, err := Eval(arg, env)
		if err != nil {
			return Value{}, err
		}
		if e.Name == "coalesce" && !value.Null {
			return value, nil
		}
		args = append(args, value)
	}
	if e.Name == "coalesce" {
		return Null(TypeOf(e)), nil
	}
	return env.Call(e.Name, args)
}

func evalBinary(e Binary, env Env) (Value, error) {
	left, err := Eval(e.Left, env)
	if err != nil {
		return Value{}, err
	}
	right, err := Eval(e.Right, env)
	if err != nil {
		return Value{}, err
	}
	if left.Null || right.Null {
		return Null(TypeOf(e)), nil
	}
	switch e.Operator {
	case "and":
		return Bool(left.IsTrue() && right.IsTrue()), nil
	case "or":
		return Bool(left.IsTrue() || right.IsTrue()), nil
	case "||":
		return Text(left.Text + right.Text), nil
	case "+", "-":
		return add(e.Operator, left, right)
	}
	return Bool(holds(e.Operator, compare(left, right))), nil
}

func add(operator string, left, right Value) (Value, error) {
	a, err := strconv.ParseInt(left.Text, 10, 64)
	if err != nil {
		return Value{}, Errorf(CodeInvalidText, "invalid input syntax for type bigint: %q", left.Text)
	}
	b, err := strconv.ParseInt(right.Text, 10, 64)
	if err != nil {
		return Value{}, Errorf(CodeInvalidText, "invalid input syntax for type bigint: %q", right.Text)
	}
	if operator == "-" {
		b = -b
	}
	return Int8(a + b), nil
}

// compare orders numbers by value and everything else by text.
func compare(left, right Value) int {
	a, errA := strconv.ParseFloat(left.Text, float64Bits)
	b, errB := strconv.ParseFloat(right.Text, float64Bits)
	if errA == nil && errB == nil {
		return order(a, b)
	}
	return order(left.Text, right.Text)
}

func order[T float64 | string](a, b T) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

func holds(operator string, order int) bool {
	switch operator {
	case "=":
		return order == 0
	case "<":
		return order < 0
	case ">":
		return order > 0
	case "<=":
		return order <= 0
	case ">=":
		return order >= 0
	default:
		return order != 0
	}
}
