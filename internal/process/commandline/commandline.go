// Package commandline parses a program's arguments and runs the command that they
// select.
package commandline

import (
	"context"
	"fmt"
	"io"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"
)

// Exit codes of a program.
const (
	exitFailure      = 1
	exitInvalidInput = 2
)

// InputError marks an error that is caused by the user's input, so that the
// program ends with exit code 2.
type InputError struct{ Cause error }

// Error returns the message of the cause.
func (inputerror *InputError) Error() string { return inputerror.Cause.Error() }

// Unwrap returns the cause for errors.Is and errors.As.
func (inputerror *InputError) Unwrap() error { return inputerror.Cause }

// Program describes a program and its commands.
type Program struct {
	Name        string
	Description string
	Version     string
	// Commands points to the struct from whose fields and tags kong builds the
	// commands and flags.
	Commands any
}

// Run runs the command that arguments select and returns the exit code: 0 for
// success, 1 for a failure, 2 for invalid input. Errors are written to stderr. The
// Run method of a command may take ctx and stdout as parameters.
func (program Program) Run(ctx context.Context, arguments []string, stdout, stderr io.Writer) int {
	// kong calls the exit function after --help and --version; -1 means that it did
	// not.
	exitCode := -1
	parser, err := kong.New(program.Commands,
		kong.Name(program.Name),
		kong.Description(program.Description),
		kong.Vars{"version": program.Name + " " + program.Version},
		kong.Writers(stdout, stderr),
		kong.Exit(func(code int) { exitCode = code }),
		kong.BindTo(ctx, (*context.Context)(nil)),
		kong.BindTo(stdout, (*io.Writer)(nil)),
	)
	if err != nil {
		return program.report(err, stderr, exitFailure)
	}
	kongContext, err := parser.Parse(arguments)
	if exitCode >= 0 {
		return exitCode
	}
	if err != nil {
		return program.report(err, stderr, exitInvalidInput)
	}
	return program.finish(kongContext.Run(), stderr)
}

// finish reports err, if any, and returns the exit code for it.
func (program Program) finish(err error, stderr io.Writer) int {
	var inputErr *InputError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &inputErr):
		return program.report(err, stderr, exitInvalidInput)
	}
	return program.report(err, stderr, exitFailure)
}

// report writes err to stderr and returns code.
func (program Program) report(err error, stderr io.Writer, code int) int {
	fmt.Fprintf(stderr, "%s: %s\n", program.Name, err)
	return code
}
