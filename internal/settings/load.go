package settings

import (
	"crypto/tls"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/bluebellwell/bluebellwell/internal/findings"
)

// Load reads a settings file and the key and certificate files that it names.
// A relative path in it starts at the directory of the settings file. The error
// is a *findings.Error with all problems of these files.
func Load(path string) (*Settings, error) {
	list := findings.NewList(path)
	data, err := readFile(path)
	if err != nil {
		list.Add("$", findings.CodeInvalid, "cannot read the file: %v", err)
		return nil, list.Err()
	}
	s := parse(list, data)
	if s != nil {
		dir := filepath.Dir(path)
		loadFleetKey(list, dir, s)
		loadTLS(list, dir, s.TLS)
	}
	if err := list.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// readFile reads one byte more than the limit, so that the caller can detect a
// file that is too long.
func readFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return io.ReadAll(io.LimitReader(f, maxFileBytes+1))
}

func loadFleetKey(list *findings.List, dir string, s *Settings) {
	const path = "$.fleet_key_file"
	if s.FleetKeyFile == "" {
		return
	}
	s.FleetKeyFile = resolve(dir, s.FleetKeyFile)
	data, err := readFile(s.FleetKeyFile)
	if err != nil {
		list.Add(path, findings.CodeInvalid, "cannot read the file: %v", err)
		return
	}
	key, ok := ParseKey(strings.TrimSpace(string(data)))
	if !ok {
		list.Add(path, findings.CodeInvalid, "file must hold %d hex digits", 2*KeyBytes)
		return
	}
	s.FleetKey = key
}

func loadTLS(list *findings.List, dir string, t *TLS) {
	if t == nil || t.CertificateFile == "" || t.KeyFile == "" {
		return
	}
	t.CertificateFile = resolve(dir, t.CertificateFile)
	t.KeyFile = resolve(dir, t.KeyFile)
	if _, err := tls.LoadX509KeyPair(t.CertificateFile, t.KeyFile); err != nil {
		list.Add("$.tls", findings.CodeInvalid, "cannot use the certificate and its key: %v", err)
	}
}

func resolve(dir, path string) string {
	if filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(dir, path)
}
