package settings

import (
	"io"
	"os"
	"strings"

	"gypsumdock/pkg/tomlbind"
)

// Problem is a problem in a settings file, with its file and line.
type Problem = tomlbind.Problem

// Load reads the settings file at path; keys that it does not give keep their
// defaults. It also reads the files that the settings name. If there are
// problems, it returns all of them and nil settings.
func Load(path string) (*Settings, []Problem) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, []Problem{{File: path, Reason: err.Error()}}
	}
	loaded, doc := parse(path, data)
	for _, fault := range loaded.readFiles() {
		doc.Report(fault.Key, "%s", fault.Reason)
	}
	if len(doc.Problems) > 0 {
		return nil, doc.Problems
	}
	return loaded, nil
}

// Parse is Load for the contents of a settings file. It opens none of the files
// that the settings name. file is the name used in problems.
func Parse(file string, data []byte) (*Settings, []Problem) {
	parsed, doc := parse(file, data)
	if len(doc.Problems) > 0 {
		return nil, doc.Problems
	}
	return parsed, nil
}

// parse binds the text to the defaults and checks the values. A key that could
// not be bound is reported only once.
func parse(file string, data []byte) (*Settings, *tomlbind.Document) {
	parsed := Defaults()
	doc := tomlbind.Bind(file, data, parsed)
	failed := map[string]bool{}
	for _, problem := range doc.Problems {
		failed[problem.Key] = true
	}
	for _, fault := range Check(parsed) {
		if !failed[fault.Key] {
			doc.Report(fault.Key, "%s", fault.Reason)
		}
	}
	return parsed, doc
}

// readFiles sets the token from the token file, and checks that the TLS files
// can be read.
func (s *Settings) readFiles() []Problem {
	var problems []Problem
	for _, named := range s.fileNames() {
		if named.path == "" {
			continue
		}
		if _, err := os.ReadFile(named.path); err != nil {
			problems = append(problems, Problem{Key: named.key, Reason: "must name a readable file: " + err.Error()})
		}
	}
	if s.Platform.TokenFile == "" {
		return problems
	}
	token, err := os.ReadFile(s.Platform.TokenFile)
	if err != nil {
		return append(problems, Problem{Key: "platform.token_file", Reason: "must name a readable file: " + err.Error()})
	}
	s.Platform.Token = Secret(strings.TrimSpace(string(token)))
	return problems
}

// namedFile is a setting that names a file. path is empty if it is not set.
type namedFile struct{ key, path string }

// fileNames returns the settings that name TLS files.
func (s *Settings) fileNames() []namedFile {
	return []namedFile{
		{"callers.tls_certificate", s.Callers.TLSCertificate},
		{"callers.tls_key", s.Callers.TLSKey},
		{"mesh.tls_authority", s.Mesh.TLSAuthority},
		{"mesh.tls_certificate", s.Mesh.TLSCertificate},
		{"mesh.tls_key", s.Mesh.TLSKey},
	}
}

// WriteEffective writes all settings, including defaults, as TOML with secrets
// masked.
func (s *Settings) WriteEffective(w io.Writer) error {
	return tomlbind.Encode(w, s)
}
