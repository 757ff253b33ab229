package bundle

// Login holds the parameters with which a connection to an upstream is opened.
// An open connection remains usable as long as its Login equals the one that the
// current configuration gives.
type Login struct{ Address, Database, User, Password string }

// Login returns the connection parameters of the group's upstream.
func (g *Group) Login(upstream *Upstream) Login {
	return Login{
		Address:  upstream.Address,
		Database: g.Database,
		User:     g.User,
		Password: g.Password,
	}
}

// String returns only the address, so that logs never show the password.
func (l Login) String() string { return l.Address }
