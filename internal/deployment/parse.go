package deployment

import (
	"bytes"
	"embed"
	"errors"
	"io"
	"io/fs"
	"os"
	"path"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"
)

//go:embed files/*.yaml
var files embed.FS

// maxFileBytes is the maximum size of a deployment file.
const maxFileBytes = 4 << 20

// Names returns the names of the embedded deployments.
func Names() []string {
	entries, err := files.ReadDir("files")
	if err != nil {
		return nil
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, strings.TrimSuffix(e.Name(), ".yaml"))
	}
	return names
}

// Load returns the embedded deployment of the given name or, if there is none, reads the file of that name. It returns
// ErrNotFound if there is neither, and ErrInvalid like Parse.
func Load(nameOrFile string) (*Deployment, error) {
	text, err := files.ReadFile(path.Join("files", nameOrFile+".yaml"))
	if errors.Is(err, fs.ErrNotExist) || errors.Is(err, fs.ErrInvalid) {
		text, err = readFile(nameOrFile)
	}
	if err != nil {
		return nil, eris.Wrapf(ErrNotFound, "%v; embedded deployments: %s", err, strings.Join(Names(), ", "))
	}
	return Parse(text)
}

func readFile(name string) ([]byte, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	text, err := io.ReadAll(io.LimitReader(file, maxFileBytes+1))
	if err == nil && len(text) > maxFileBytes {
		err = eris.Errorf("%s is larger than %d bytes", name, maxFileBytes)
	}
	return text, err
}

// Parse parses and checks a deployment in YAML. It returns ErrInvalid if the text is malformed or inconsistent, and also for
// unknown and repeated fields.
func Parse(text []byte) (*Deployment, error) {
	decoder := yaml.NewDecoder(bytes.NewReader(text), yaml.Strict(), yaml.Validator(validator.New()))
	d := new(Deployment)
	if err := decoder.Decode(d); err != nil {
		return nil, eris.Wrap(ErrInvalid, err.Error())
	}
	if err := decoder.Decode(new(Deployment)); err != io.EOF {
		return nil, eris.Wrap(ErrInvalid, "unexpected text after the deployment")
	}
	for i := range d.Services {
		if err := d.Services[i].readKinds(); err != nil {
			return nil, err
		}
	}
	if err := d.check(); err != nil {
		return nil, eris.Wrapf(ErrInvalid, "deployment %s: %v", d.Name, err)
	}
	return d, nil
}

// serviceDocument holds the fields of a service document that the load depends on. Package document validates the complete
// document.
type serviceDocument struct {
	Service string `yaml:"service"`
	Kinds   []Kind `yaml:"kinds"`
}

func (s *Service) readKinds() error {
	var parsed serviceDocument
	if err := yaml.Unmarshal([]byte(s.Document), &parsed); err != nil {
		return eris.Wrapf(ErrInvalid, "document of service %s: %v", s.Name, err)
	}
	if parsed.Service != s.Name {
		return eris.Wrapf(ErrInvalid, "document of service %s: the document names service %q", s.Name, parsed.Service)
	}
	s.Kinds = parsed.Kinds
	return nil
}
