package main

// cases are the days that the scripts play. Each returns whether the rule was broken; without
// trouble it does the same without the disruption.
var cases = map[string]func(trouble bool) (broken bool){
	"pausing": pausing,
	"lapses":  forgetting(true),
	"forgets": forgetting(false),
	"setback": setback,
	"rolled":  rolled,
	"stray":   stray,
}
