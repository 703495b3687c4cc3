// Package experiment measures a serving system under open-loop load.
//
// A Scenario describes the stand-ins, the mix of requests and the parts of an
// experiment: with and without long prompts, with faults on a schedule, with
// slow readers. Run drives each part against each Variant, a system in front of
// the stand-ins, with the same seeded arrivals for all of them. It checks each
// answer and reports time to first token by prompt length, the slowdown of short
// prompts by long ones, service over time, and memory held for slow readers.
//
// Latencies count from the time at which a request was due, not from when it was
// sent, so that a busy generator cannot hide waiting. All durations of a scenario
// and of a report are in model time: the time scale divides them for the run.
package experiment
