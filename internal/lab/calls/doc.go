// Package calls gives a mesh the calls of an experiment and judges every
// answer: each call has an identifier, the worker's answer is a function of it,
// and what the workers executed is compared with what callers were told.
package calls
