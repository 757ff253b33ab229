package bundle

// Login is what a connection to an upstream is opened with. A connection
// serves as long as its Login equals that of the configuration in force.
type Login struct{ Address, Database, User, Password string }

// Login returns what connections to the group's upstream are opened with.
func (g *Group) Login(upstream *Upstream) Login {
	return Login{
		Address:  upstream.Address,
		Database: g.Database,
		User:     g.User,
		Password: g.Password,
	}
}

// String returns the address, so that no log shows the password.
func (l Login) String() string { return l.Address }
