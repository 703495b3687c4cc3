// Package operator implements the language in which operators query and change a deployment.
//
// A statement goes through four stages. Parse builds its syntax tree. Check converts the words
// of the tree to typed values. The plan method of an order computes the changes that the order
// makes to the applied configuration. A Session sends the result to Control.
package operator

import "context"

// Control is a client of the control plane. Package command defines the commands and the types
// of their bodies and answers.
type Control interface {
	// Do sends the command name with body under the identifier id and decodes the answer into
	// out, which may be nil. A command that is retried under the same identifier gets the
	// first answer. If control refuses the command, the error wraps a *verdict.Refusal.
	Do(ctx context.Context, name, id string, body, out any) error
}
