// Package calls makes the calls of an experiment to a mesh and verifies every
// answer: each call has an identifier, the worker's answer is a function of the
// identifier and the body, and the executions that the workers recorded are compared
// with the results that callers received.
package calls
