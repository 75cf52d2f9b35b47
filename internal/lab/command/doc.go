// Package command assembles the command line of levertide-lab: the
// experiments of the lab, its helper commands and the stand-in for a worker.
package command
