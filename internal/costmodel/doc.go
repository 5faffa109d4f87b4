// Package costmodel predicts what a request costs from what similar requests have cost: the
// output tokens of a generation, the work time of a request to a plain service, and the pace of
// an upstream. It reads no clock, does no I/O and uses bounded memory.
//
// Estimates come from distributions whose observations lose half of their weight in every
// half-life. The distribution of a narrow group of requests is combined with that of the group
// around it, which counts as a few observations, so that a group with few observations follows
// the wider one. Without any observation, the prediction of an output is the caller's own
// figure, and there is no prediction of a work time.
package costmodel
