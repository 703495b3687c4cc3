// Package quota shares the limits of client accounts out to entries as leases.
package quota
