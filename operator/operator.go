// Package operator is the query and command language of operators.
package operator
