// Package standin serves small stand-ins of engines, services and the weight store at their published interfaces.
package standin
