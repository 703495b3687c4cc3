// Package experiment generates load, records histograms and draws plots.
package experiment
