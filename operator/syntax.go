package operator

import "github.com/alecthomas/participle/v2/lexer"

// Name is a word or a quoted string, with its position in the statement.
type Name struct {
	Pos  lexer.Position
	Text string `parser:"@(Word | String)"`
}

// Statement is the syntax tree of one statement; one field is set.
type Statement struct {
	Show    *Show    `parser:"  @@"`
	History *History `parser:"| @@"`
	Wait    *Wait    `parser:"| @@"`
	Explain *Explain `parser:"| @@"`
	Order   *Order   `parser:"| @@"`
}

// Show asks for a table.
type Show struct {
	Table string       `parser:"'show' @('endpoints' | 'requests' | 'zones' | 'models' | 'routes' | 'accounts' | 'processes' | 'replicas' | 'leases')"`
	Where []*Condition `parser:"('where' @@ ('and' @@)*)?"`
}

// Condition compares a column of a table with a value.
type Condition struct {
	Column   Name   `parser:"@@"`
	Operator string `parser:"@('=' | '!=' | '<=' | '>=' | '<' | '>')"`
	Value    Name   `parser:"@@"`
}

// History asks for accepted orders in the audit log.
type History struct {
	From  *Name `parser:"'history' ('from' @@)?"`
	Limit *Name `parser:"('limit' @@)?"`
}

// Wait waits until a revision is applied in every process.
type Wait struct {
	Revision *Name `parser:"'wait' ('revision' @@)?"`
	Timeout  *Name `parser:"('for' @@)?"`
}

// Explain asks for the effects that an order would have.
type Explain struct {
	Order Order `parser:"'explain' @@"`
}

// Order is a statement that changes the configuration, an engine or the replicas of control. One
// of the fields except Expected is set, and Expected may be set too.
type Order struct {
	Take     *Take     `parser:"( @@"`
	Bring    *Bring    `parser:"| @@"`
	Load     *Load     `parser:"| @@"`
	Engine   *Engine   `parser:"| @@"`
	Route    *Route    `parser:"| @@"`
	Model    *Model    `parser:"| @@"`
	Limits   *Limits   `parser:"| @@"`
	Mark     *Mark     `parser:"| @@"`
	Key      *AddKey   `parser:"| @@"`
	DropKey  *DropKey  `parser:"| @@"`
	Zone     *AddZone  `parser:"| @@"`
	Account  *Account  `parser:"| @@"`
	Drop     *Drop     `parser:"| @@"`
	Replica  *Replica  `parser:"| @@ )"`
	Expected *Expected `parser:"@@?"`
}

// Expected is the configuration revision at which the order is to be accepted.
type Expected struct {
	Revision Name `parser:"'expecting' 'revision' @@"`
}

// Take takes a zone or an endpoint out of service.
type Take struct {
	Kind string `parser:"'take' @('zone' | 'endpoint')"`
	Name Name   `parser:"@@ 'out'"`
}

// Bring brings a zone or an endpoint back into service.
type Bring struct {
	Kind string `parser:"'bring' @('zone' | 'endpoint')"`
	Name Name   `parser:"@@ 'in'"`
}

// Load orders an engine to load a model or an adapter.
type Load struct {
	Kind     string `parser:"'load' @('model' | 'adapter')"`
	Value    Name   `parser:"@@"`
	Endpoint Name   `parser:"'on' @@"`
}

// Engine orders an engine to change its version or role.
type Engine struct {
	Kind     string `parser:"'set' @('version' | 'role')"`
	Value    Name   `parser:"@@"`
	Endpoint Name   `parser:"'on' @@"`
}

// Route adds or changes a route.
type Route struct {
	Name    Name           `parser:"'set' 'route' @@"`
	Kind    string         `parser:"'to' @('model' | 'service')"`
	Target  Name           `parser:"@@"`
	Options []*RouteOption `parser:"@@*"`
}

// RouteOption is one setting of a route.
type RouteOption struct {
	Deadline  *Name  `parser:"  'deadline' @@"`
	Accounts  []Name `parser:"| 'accounts' @@ (',' @@)*"`
	MaxOutput *Name  `parser:"| 'max' 'output' @@"`
}

// Model adds or changes a model.
type Model struct {
	Name    Name           `parser:"'set' 'model' @@"`
	Options []*ModelOption `parser:"@@*"`
}

// ModelOption is one setting of a model.
type ModelOption struct {
	Versions []Name `parser:"  'versions' @@ (',' @@)*"`
	Adapters []Name `parser:"| 'adapters' @@ (',' @@)*"`
	Weights  *Name  `parser:"| 'weights' @@"`
}

// Limits changes the limits of a client account.
type Limits struct {
	Account Name     `parser:"'set' 'account' @@"`
	Limits  []*Limit `parser:"'limits' @@+"`
}

// Limit is one limit of a client account.
type Limit struct {
	Kind  string `parser:"@('requests' | 'tokens' | 'concurrent' | 'held')"`
	Value Name   `parser:"@@"`
}

// Mark marks calls of a route as non-idempotent, so that they run at most once, or removes the
// mark.
type Mark struct {
	Kind   string `parser:"@('mark' | 'unmark')"`
	Route  Name   `parser:"'route' @@"`
	Method Name   `parser:"@@"`
	Path   Name   `parser:"@@ 'non-idempotent'"`
}

// AddKey makes a key for a client account.
type AddKey struct {
	Account Name `parser:"'add' 'key' 'for' 'account' @@"`
}

// DropKey removes a key from a client account.
type DropKey struct {
	Hash    Name `parser:"'drop' 'key' @@"`
	Account Name `parser:"'from' 'account' @@"`
}

// AddZone adds an availability zone, which is out of service at first.
type AddZone struct {
	Name   Name `parser:"'add' 'zone' @@"`
	Region Name `parser:"'in' 'region' @@"`
}

// Account adds a client account.
type Account struct {
	Name   Name     `parser:"'add' 'account' @@"`
	Limits []*Limit `parser:"('limits' @@+)?"`
}

// Drop removes a model, a route, a client account or the rule for an endpoint, which is the
// configured state of this endpoint.
type Drop struct {
	Kind string `parser:"'drop' @('model' | 'route' | 'account' | 'endpoint')"`
	Name Name   `parser:"@@"`
}

// Replica adds, promotes or removes a replica of control.
type Replica struct {
	Kind string `parser:"@('add' | 'promote' | 'remove')"`
	ID   Name   `parser:"'replica' @@"`
	Addr *Name  `parser:"('at' @@)?"`
}
