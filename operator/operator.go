// Package operator is the query and command language of operators.
//
// A statement goes through four stages, one file each: Parse makes a syntax tree
// of it, Check gives its words types, plan works out the changes against the
// configuration in force, and a Session runs it through Control.
package operator

import "context"

// Control takes commands; package command names them and their types.
type Control interface {
	// Do sends the command name with body under the identifier id and decodes the
	// answer into out, which may be nil. A resend under the same identifier gets
	// the first answer. A refusal is a *verdict.Refusal in the error's chain.
	Do(ctx context.Context, name, id string, body, out any) error
}
