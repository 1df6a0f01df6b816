// Package commandline runs a program's command tree.
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
	exitFailed   = 1
	exitBadInput = 2
)

// InputError marks an error of the user's input.
type InputError struct{ Cause error }

// Error returns the cause's text.
func (inputerror *InputError) Error() string { return inputerror.Cause.Error() }

// Unwrap returns the cause.
func (inputerror *InputError) Unwrap() error { return inputerror.Cause }

// Program is a program with its command tree.
type Program struct {
	Name        string
	Description string
	Version     string
	// Commands is a pointer to the struct that kong reads the commands from.
	Commands any
}

// Run runs the command that arguments choose and returns the exit code: 0 for
// success, 1 for a failure, 2 for input that is not allowed. Commands may take
// ctx and stdout as arguments of their Run method.
func (program Program) Run(ctx context.Context, arguments []string, stdout, stderr io.Writer) int {
	exit := -1
	parser, err := kong.New(program.Commands,
		kong.Name(program.Name),
		kong.Description(program.Description),
		kong.Vars{"version": program.Name + " " + program.Version},
		kong.Writers(stdout, stderr),
		kong.Exit(func(code int) { exit = code }),
		kong.BindTo(ctx, (*context.Context)(nil)),
		kong.BindTo(stdout, (*io.Writer)(nil)),
	)
	if err != nil {
		return program.report(err, stderr, exitFailed)
	}
	parsed, err := parser.Parse(arguments)
	if exit >= 0 {
		return exit
	}
	if err != nil {
		return program.report(err, stderr, exitBadInput)
	}
	return program.exitCode(parsed.Run(), stderr)
}

func (program Program) exitCode(err error, stderr io.Writer) int {
	var input *InputError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &input):
		return program.report(err, stderr, exitBadInput)
	}
	return program.report(err, stderr, exitFailed)
}

func (program Program) report(err error, stderr io.Writer, code int) int {
	fmt.Fprintf(stderr, "%s: %s\n", program.Name, err)
	return code
}
