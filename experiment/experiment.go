// Package experiment measures a serving system under open-loop load.
//
// A Scenario describes the stand-ins, the mix of requests and the parts of an
// experiment: with and without long prompts, with scheduled faults, with slow
// readers. Experiment.Run runs each part against each Variant, a system in front of
// the stand-ins, with the same seeded arrivals for all variants. It checks each answer
// and reports the time to first token by prompt length, the slowdown of short prompts
// by long ones, the outcomes of requests over time, and the memory used while slow
// readers are connected.
//
// Latencies count from the time at which a request was due, not from when it was
// sent, so that a load generator that falls behind does not hide delays (coordinated
// omission). All durations of a scenario, and all of a report but ZoneWork, are in
// model time: real time multiplied by the time scale.
package experiment
