package settings

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffyaml"
)

const (
	environmentPrefix = "LEVERTIDE"
	settingsFileFlag  = "settings"
	// foreignVariablesFlag is for environments in which other programs use the
	// same prefix for their variables.
	foreignVariablesFlag = "foreign-variables"
	programName          = "levertided"
	// storeTokenVariable names the variable that Settings.StoreToken is read from.
	storeTokenVariable = environmentPrefix + "_STORE_TOKEN"
	// nodeAddressVariable is read by the operators' command line, levertide, and
	// is accepted here so that both programs can share an environment.
	nodeAddressVariable = environmentPrefix + "_NODE_ADDRESS"
)

// Invocation holds the settings and what else the command line asked for.
type Invocation struct {
	Settings Settings
	// Check asks to validate the settings and exit.
	Check bool
	// ForeignVariables ignores environment variables that have the prefix of the
	// settings but are not settings, instead of reporting them as problems.
	ForeignVariables bool
	// Version asks to print the program's version and exit.
	Version bool
}

// Load reads settings from the command-line arguments (without the program's
// name), the environment and the settings file. Help is written to output and
// reported as flag.ErrHelp; settings that cannot be used as ErrInvalid.
func Load(arguments []string, output io.Writer) (Invocation, error) {
	reader := newReader(output)
	if err := reader.read(arguments); err != nil {
		return Invocation{}, err
	}
	if reader.invocation.Version {
		return reader.invocation, nil
	}
	problems := append(reader.problems, validate(reader.invocation.Settings, reader.origins)...)
	if len(problems) > 0 {
		return Invocation{}, newInvalidError(problems...)
	}
	return reader.invocation, nil
}

// reader collects values and records the source of each.
type reader struct {
	flags          *flag.FlagSet
	invocation     Invocation
	file           string
	describeSource func(Key) string
	origins        map[string]string
	problems       []Problem
}

func newReader(output io.Writer) *reader {
	r := &reader{origins: make(map[string]string)}
	r.flags = flag.NewFlagSet(programName, flag.ContinueOnError)
	r.flags.SetOutput(output)
	for _, key := range Keys() {
		value := key.bind(&r.invocation.Settings)
		if key.Default != "" {
			_ = value.Set(key.Default)
		}
		r.flags.Var(&tracedValue{Value: value, key: key, reader: r}, key.Name, key.Usage+" ("+key.Allowed+")")
	}
	r.flags.StringVar(&r.file, settingsFileFlag, "", "YAML file with settings under the same names")
	r.flags.BoolVar(&r.invocation.Check, "check", false, "validate the settings and leave")
	r.flags.BoolVar(&r.invocation.ForeignVariables, foreignVariablesFlag, false, "pass over variables with the prefix "+environmentPrefix+"_ that are no settings, instead of refusing them")
	r.flags.BoolVar(&r.invocation.Version, "version", false, "print the version and leave")
	return r
}

func (r *reader) read(arguments []string) error {
	r.describeSource = func(key Key) string { return "flag -" + key.Name }
	if err := r.flags.Parse(arguments); err != nil {
		return r.flagError(err)
	}
	if r.flags.NArg() > 0 {
		return newInvalidError(Problem{Key: r.flags.Arg(0), Source: "command line", Message: "is not a flag", Allowed: "flags only; see -help"})
	}
	if !r.invocation.ForeignVariables {
		r.refuseUnknownVariables(os.Environ())
	}
	r.invocation.Settings.StoreToken = Token(os.Getenv(storeTokenVariable))
	r.describeSource = func(key Key) string { return "environment variable " + key.EnvironmentVariable() }
	err := ff.Parse(r.flags, nil,
		ff.WithEnvVarPrefix(environmentPrefix),
		ff.WithConfigFileFlag(settingsFileFlag),
		ff.WithConfigFileParser(r.parseFile))
	if err != nil {
		return newInvalidError(Problem{Key: settingsFileFlag, Value: r.file, Source: "flag or environment", Message: err.Error(), Allowed: "readable YAML file with the keys of docs/SETTINGS.md"})
	}
	return nil
}

func (r *reader) flagError(err error) error {
	if errors.Is(err, flag.ErrHelp) {
		return err
	}
	return newInvalidError(Problem{Key: "command line", Source: "flags", Message: err.Error(), Allowed: "the flags that -help lists"})
}

func (r *reader) parseFile(file io.Reader, set func(name, value string) error) error {
	r.describeSource = func(Key) string { return "settings file " + r.file }
	known := Keys()
	return ffyaml.Parser(file, func(name, value string) error {
		if !slices.ContainsFunc(known, func(key Key) bool { return key.Name == name }) {
			r.problems = append(r.problems, unknownKey(name, value, "settings file "+r.file))
			return nil
		}
		return set(name, value)
	})
}

func (r *reader) refuseUnknownVariables(environment []string) {
	known := map[string]bool{
		environmentPrefix + "_" + strings.ToUpper(settingsFileFlag): true,
		environmentPrefix + "_CHECK":                                true,
		storeTokenVariable:                                          true,
		nodeAddressVariable:                                         true,
	}
	for _, key := range Keys() {
		known[key.EnvironmentVariable()] = true
	}
	for _, entry := range environment {
		name, value, _ := strings.Cut(entry, "=")
		if strings.HasPrefix(name, environmentPrefix+"_") && !known[name] {
			r.problems = append(r.problems, unknownKey(name, value, "environment"))
		}
	}
}

func unknownKey(name, value, source string) Problem {
	return Problem{Key: name, Value: value, Source: source, Message: "is not a known key", Allowed: "the keys of docs/SETTINGS.md"}
}

// tracedValue records the source of a value and turns a value that cannot be
// parsed into a Problem, for which the default is used instead.
type tracedValue struct {
	flag.Value
	key    Key
	reader *reader
}

// Set records the source and sets the wrapped value.
func (v *tracedValue) Set(text string) error {
	v.reader.origins[v.key.Name] = v.reader.describeSource(v.key)
	if err := v.Value.Set(text); err != nil {
		v.reader.problems = append(v.reader.problems, Problem{
			Key: v.key.Name, Value: text, Source: v.reader.origins[v.key.Name],
			Message: fmt.Sprintf("cannot be read: %v", err), Allowed: v.key.Allowed,
		})
		_ = v.Value.Set(v.key.Default)
	}
	return nil
}

// String returns the wrapped value as text. Package flag calls it on zero values too.
func (v *tracedValue) String() string {
	if v.Value == nil {
		return ""
	}
	return v.Value.String()
}

// IsBoolFlag tells package flag that a switch may be given without a value.
func (v *tracedValue) IsBoolFlag() bool {
	_, isSwitch := v.Value.(*switchValue)
	return isSwitch
}
