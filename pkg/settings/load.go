package settings

import (
	"io"
	"os"
	"strings"

	"gypsumdock/pkg/tomlbind"
)

// Problem is one fault of the settings, with its file and line.
type Problem = tomlbind.Problem

// Load reads the file at path over the defaults. It returns every problem at
// once, and nil settings if there is one.
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

// Parse reads settings from text. It opens none of the files that they name.
func Parse(file string, data []byte) (*Settings, []Problem) {
	parsed, doc := parse(file, data)
	if len(doc.Problems) > 0 {
		return nil, doc.Problems
	}
	return parsed, nil
}

func parse(file string, data []byte) (*Settings, *tomlbind.Document) {
	parsed := Defaults()
	doc := tomlbind.Bind(file, data, parsed)
	bound := map[string]bool{}
	for _, problem := range doc.Problems {
		bound[problem.Key] = true
	}
	for _, fault := range Check(parsed) {
		if !bound[fault.Key] {
			doc.Report(fault.Key, "%s", fault.Reason)
		}
	}
	return parsed, doc
}

// readFiles reads the token file and checks that the other files that the
// settings name can be read.
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

type namedFile struct{ key, path string }

func (s *Settings) fileNames() []namedFile {
	return []namedFile{
		{"callers.tls_certificate", s.Callers.TLSCertificate},
		{"callers.tls_key", s.Callers.TLSKey},
		{"mesh.tls_authority", s.Mesh.TLSAuthority},
		{"mesh.tls_certificate", s.Mesh.TLSCertificate},
		{"mesh.tls_key", s.Mesh.TLSKey},
	}
}

// WriteEffective writes the settings as TOML, with secrets masked.
func (s *Settings) WriteEffective(w io.Writer) error {
	return tomlbind.Encode(w, s)
}
