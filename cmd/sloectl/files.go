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

	"sloepick/internal/daemonconfig"
	"sloepick/internal/gateway"
	"sloepick/internal/operator"
	"sloepick/internal/sloe"
)

// parseFlags parses a subcommand's flags and requires between minFiles and maxFiles files after them. If the arguments
// are invalid it prints why and reports false.
func parseFlags(fs *flag.FlagSet, args []string, errs io.Writer, minFiles, maxFiles int) bool {
	fs.SetOutput(errs)
	if fs.Parse(args) != nil {
		return false // Parse has printed the error
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

// position is a position in a file, as written in JSON.
type position struct {
	File string `json:"file"`
	Line int    `json:"line"`
	Col  int    `json:"col"`
}

// problem is a sloe.Diag, as written in JSON.
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

// check prints all problems of a file. It exits with 0 if there is no error, 1 if there is one, and 2 if the file can't be read.
func check(args []string, out, errs io.Writer) int {
	fs := newFlags("check")
	asJSON := fs.Bool("json", false, "print the problems as JSON, on standard output")
	platform := fs.String("platform", "", "the platform's file: also check routes against its settings")
	if !parseFlags(fs, args, errs, 1, 1) {
		return exitError
	}
	cfg, err := loadPlatform(*platform)
	if err != nil {
		fmt.Fprintln(errs, "sloectl:", err)
		return exitError
	}
	_, diags, err := daemonconfig.Load(fs.Arg(0), cfg)
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

// loadPlatform reads a platform's file. Without a file name it returns nil.
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

// loadOperatorFile loads and checks an operators' file. It prints all problems, and returns nil and the exit code if the file has errors.
func loadOperatorFile(name string, errs io.Writer) (*operator.Config, int) {
	c, diags, err := daemonconfig.Schema().Load(name)
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
	io.WriteString(out, daemonconfig.Schema().ReferencePage())
	return exitOK
}

// format formats files, each by itself: includes are not followed. A file that does not parse is left unchanged.
func format(args []string, out, errs io.Writer) int {
	fs := newFlags("fmt")
	list := fs.Bool("l", false, "list files that would change, and exit 1 if there are any")
	write := fs.Bool("w", false, "write files instead of printing them")
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

// formatFile returns a file's text before and after formatting. after is nil if the file does not parse; the problems are printed.
func formatFile(name string, errs io.Writer) (before, after []byte, err error) {
	info, err := os.Stat(name)
	if err != nil {
		return nil, nil, err
	}
	if !info.Mode().IsRegular() || info.Size() > sloe.MaxFileSize {
		return nil, nil, fmt.Errorf("%s is not a regular file of at most %d KiB", name, sloe.MaxFileSize>>10)
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

// replaceFile replaces a file atomically, so that a daemon that reloads reads either the old or the new text.
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
