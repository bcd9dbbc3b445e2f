package cli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/bluebellwell/bluebellwell/internal/findings"
	"github.com/bluebellwell/bluebellwell/internal/record"
)

// maxRecordFileBytes bounds a file of records.
const maxRecordFileBytes = 64 << 20

func validateCommand() *Command {
	return &Command{
		Name:     "validate",
		Summary:  "check record files without a fleet",
		Synopsis: "[-json] FILE...",
		Description: `Checks files of records and reports all findings with file and JSON path. A file
holds one record or a list of records. Whether a record conflicts with the
configuration in force is checked only when it is published.`,
		Examples:  []string{"validate examples/thekkady/records.json"},
		ExitCodes: []int{ExitOK, ExitFailure, ExitUsage, ExitInvalid},
		MinArgs:   1,
		MaxArgs:   -1,
		Setup: func(fs *flag.FlagSet) RunFunc {
			asJSON := fs.Bool("json", false, "print the findings as JSON")
			return func(_ context.Context, env Env) error { return runValidate(env, *asJSON) }
		},
	}
}

func runValidate(env Env, asJSON bool) error {
	all := findings.NewList("")
	for _, file := range env.Args {
		records, err := loadRecords(file)
		var invalid *findings.Error
		if errors.As(err, &invalid) {
			all.Append(invalid.Findings)
			continue
		}
		if err != nil {
			return err
		}
		if !asJSON {
			fmt.Fprintf(env.Stdout, "%s: %s\n", file, formatCount(len(records), "valid record"))
		}
	}
	if asJSON {
		items := append([]findings.Finding{}, all.Items()...)
		if err := writeIndented(env.Stdout, map[string]any{"findings": items}); err != nil {
			return err
		}
	}
	return all.Err()
}

func formatCount(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}

// fileRecord is one record of a file.
type fileRecord struct {
	// Location is the file, with the index of the record in a list.
	Location string
	Data     []byte
	Record   *record.Record
}

// loadRecords reads and validates all records of a file. The error is a
// *findings.Error for whatever is wrong with the file.
func loadRecords(file string) ([]fileRecord, error) {
	list := findings.NewList(file)
	data, err := readRecordFile(file)
	if err != nil {
		list.Add("$", findings.CodeInvalid, "cannot read the file: %v", err)
		return nil, list.Err()
	}
	parts, err := record.Split(file, data)
	if err != nil {
		return nil, err
	}
	isList := strings.HasPrefix(strings.TrimSpace(string(data)), "[")
	if len(parts) == 0 {
		list.Add("$", findings.CodeMissing, "the list holds no record")
	}
	var records []fileRecord
	for i, part := range parts {
		r := fileRecord{Location: file, Data: part}
		if isList {
			r.Location = fmt.Sprintf("%s[%d]", file, i)
		}
		rec, err := record.Parse(file, part)
		if err != nil {
			list.Append(relocateFindings(err, isList, i))
			continue
		}
		r.Record = rec
		records = append(records, r)
	}
	if err := list.Err(); err != nil {
		return nil, err
	}
	return records, nil
}

func readRecordFile(file string) ([]byte, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return readLimited(f)
}

// readLimited reads all of a file, which must not be larger than maxRecordFileBytes.
func readLimited(r io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, maxRecordFileBytes+1))
	if err == nil && len(data) > maxRecordFileBytes {
		err = fmt.Errorf("it is larger than %d bytes", maxRecordFileBytes)
	}
	return data, err
}

// relocateFindings returns the findings of a record with paths relative to the file.
func relocateFindings(err error, isList bool, index int) []findings.Finding {
	var invalid *findings.Error
	if !errors.As(err, &invalid) {
		return nil
	}
	items := append([]findings.Finding{}, invalid.Findings...)
	if isList {
		for i := range items {
			items[i].Path = fmt.Sprintf("$[%d]%s", index, strings.TrimPrefix(items[i].Path, "$"))
		}
	}
	return items
}
