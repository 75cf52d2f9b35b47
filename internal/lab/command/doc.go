// Package command puts together the command line of levertide-lab: the
// experiments of the lab and the stand-ins for the platform and the workers.
package command
