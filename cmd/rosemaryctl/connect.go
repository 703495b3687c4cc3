package main

import (
	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/operator"
)

// connect returns a client of control and what closes it.
func (o *options) connect() (operator.Control, func(), error) {
	if _, err := o.access(); err != nil {
		return nil, nil, err
	}
	return nil, nil, &unreachableError{errors.New("no client of control is linked in")}
}
