package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"

	"sloepick/internal/blocks"
	"sloepick/internal/gateway"
	"sloepick/internal/operator"
	"sloepick/internal/sloe"
)

// parseFlags reads a verb's parseFlags and wants between least and most files behind them. It reports false when the call
// can't be used, which it has told.
func parseFlags(fs *flag.FlagSet, args []string, errs io.Writer, minFiles, maxFiles int) bool {
	fs.SetOutput(errs)
	if fs.Parse(args) != nil {
		return false // Parse has told it
	}
	if n := fs.NArg(); n < minFiles || n > maxFiles {
		fmt.Fprintf(errs, "sloectl %s: got %d files, want %d", fs.Name(), n, minFiles)
		if maxFiles > minFiles {
			fmt.Fprint(errs, " or more")
		}
		fmt.Fprintln(errs)
		return false
	}
	return true
}

func newFlags(name string) *flag.FlagSet { return flag.NewFlagSet(name, flag.ContinueOnError) }

// position is a position for programs.
type position struct {
	File string `json:"file"`
	Line int    `json:"line"`
	Col  int    `json:"col"`
}

// problem is a sloe.Diag for programs.
type problem struct {
	position
	Severity string        `json:"severity"` // error, warning
	Message  string        `json:"message"`
	Notes    []problemNote `json:"notes,omitempty"`
}

type problemNote struct {
	position
	Message string `json:"message"`
}

func positionOf(p sloe.Pos) position {
	if !p.Valid() {
		return position{}
	}
	return position{p.Src.Name, p.Line(), p.Col()}
}

func problems(diags sloe.Diags) []problem {
	all := []problem{}
	for _, d := range diags {
		p := problem{position: positionOf(d.Pos), Severity: "error", Message: d.Msg}
		if d.Warning {
			p.Severity = "warning"
		}
		for _, n := range d.Notes {
			p.Notes = append(p.Notes, problemNote{positionOf(n.Pos), n.Msg})
		}
		all = append(all, p)
	}
	return all
}

func writeJSON(out io.Writer, v any) error {
	enc := json.NewEncoder(out)
	enc.SetIndent("", "  ")
	enc.SetEscapeHTML(false)
	return enc.Encode(v)
}

// check reports all that is wrong with a file: 0 nothing, 1 an error, 2 it can't be read.
func check(args []string, out, errs io.Writer) int {
	fs := newFlags("check")
	asJSON := fs.Bool("json", false, "print the problems as JSON, on standard output")
	platform := fs.String("platform", "", "the platform's file: hold routes to its settings too")
	if !parseFlags(fs, args, errs, 1, 1) {
		return exitError
	}
	cfg, err := loadPlatform(*platform)
	if err != nil {
		fmt.Fprintln(errs, "sloectl:", err)
		return exitError
	}
	_, diags, err := blocks.Load(fs.Arg(0), cfg)
	if err != nil {
		fmt.Fprintln(errs, "sloectl:", err)
		return exitError
	}
	if *asJSON {
		err = writeJSON(out, problems(diags))
	} else {
		_, err = io.WriteString(errs, diags.Error())
	}
	if err != nil {
		return exitError
	}
	if diags.Failed() {
		return exitNegative
	}
	return exitOK
}

// loadPlatform reads a platform's file, or none.
func loadPlatform(file string) (*gateway.Config, error) {
	if file == "" {
		return nil, nil
	}
	c, err := gateway.LoadConfig(func(name string) string {
		if name == "GW_CONFIG" {
			return file
		}
		return ""
	})
	return &c, err
}

// loadOperatorFile is a checked file, or nil with the exit code: what is wrong was told.
func loadOperatorFile(name string, errs io.Writer) (*operator.Config, int) {
	c, diags, err := blocks.Schema().Load(name)
	if err != nil {
		fmt.Fprintln(errs, "sloectl:", err)
		return nil, exitError
	}
	io.WriteString(errs, diags.Error())
	if c == nil {
		return nil, exitError
	}
	return c, exitOK
}

func diff(args []string, out, errs io.Writer) int {
	fs := newFlags("diff")
	asJSON := fs.Bool("json", false, "print the changes as JSON")
	if !parseFlags(fs, args, errs, 2, 2) {
		return exitError
	}
	old, code := loadOperatorFile(fs.Arg(0), errs)
	updated, updatedCode := loadOperatorFile(fs.Arg(1), errs)
	if old == nil || updated == nil {
		return max(code, updatedCode)
	}
	changes := operator.Diff(old, updated)
	if *asJSON {
		if changes == nil {
			changes = []operator.Change{}
		}
		if writeJSON(out, changes) != nil {
			return exitError
		}
	} else {
		for _, c := range changes {
			fmt.Fprintln(out, c)
		}
	}
	if len(changes) > 0 {
		return exitNegative
	}
	return exitOK
}

func show(args []string, out, errs io.Writer) int {
	fs := newFlags("show")
	if !parseFlags(fs, args, errs, 1, 1) {
		return exitError
	}
	c, code := loadOperatorFile(fs.Arg(0), errs)
	if c != nil {
		io.WriteString(out, c.Show())
	}
	return code
}

func doc(args []string, out, errs io.Writer) int {
	if !parseFlags(newFlags("doc"), args, errs, 0, 0) {
		return exitError
	}
	io.WriteString(out, blocks.Schema().Doc())
	return exitOK
}

// format brings files into the usual form, each by itself: includes are not followed. A file that does not parse
// stays as it is.
func format(args []string, out, errs io.Writer) int {
	fs := newFlags("fmt")
	list := fs.Bool("l", false, "list files that would change, and exit 1 if there are any")
	write := fs.Bool("w", false, "write files in place of printing them")
	if !parseFlags(fs, args, errs, 1, 1<<20) {
		return exitError
	}
	code := exitOK
	for _, name := range fs.Args() {
		before, after, err := formatFile(name, errs)
		if err != nil {
			fmt.Fprintln(errs, "sloectl:", err)
			code = exitError
			continue
		}
		if after == nil {
			code = max(code, exitNegative)
			continue
		}
		changed := !bytes.Equal(before, after)
		if *list && changed {
			fmt.Fprintln(out, name)
			code = max(code, exitNegative)
		}
		if *write && changed {
			if err := replaceFile(name, after); err != nil {
				fmt.Fprintln(errs, "sloectl:", err)
				code = exitError
			}
		}
		if !*list && !*write {
			out.Write(after)
		}
	}
	return code
}

// formatFile is a file before and after. after is nil if the file does not parse, which was told.
func formatFile(name string, errs io.Writer) (before, after []byte, err error) {
	info, err := os.Stat(name)
	if err != nil {
		return nil, nil, err
	}
	if !info.Mode().IsRegular() || info.Size() > sloe.FileMost {
		return nil, nil, fmt.Errorf("%s is no ordinary file of %d KiB at most", name, sloe.FileMost>>10)
	}
	if before, err = os.ReadFile(name); err != nil {
		return nil, nil, err
	}
	f, diags := sloe.Parse(&sloe.Source{Name: name, Text: before})
	io.WriteString(errs, diags.Error())
	if diags.Failed() {
		return before, nil, nil
	}
	return before, append([]byte{}, sloe.Format(f)...), nil
}

// replaceFile writes a file as a whole or not at all: a daemon that reloads meets the former or the new one.
func replaceFile(name string, text []byte) (err error) {
	target, err := filepath.EvalSymlinks(name)
	if err != nil {
		return err
	}
	info, err := os.Stat(target)
	if err != nil {
		return err
	}
	tmp, err := os.CreateTemp(filepath.Dir(target), ".sloectl-*")
	if err != nil {
		return err
	}
	defer func() {
		if err != nil {
			err = errors.Join(err, ignoreMissing(os.Remove(tmp.Name())))
		}
	}()
	_, err = tmp.Write(text)
	err = errors.Join(err, tmp.Chmod(info.Mode().Perm()), tmp.Sync(), tmp.Close())
	if err != nil {
		return err
	}
	return os.Rename(tmp.Name(), target)
}

func ignoreMissing(err error) error {
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	return err
}
