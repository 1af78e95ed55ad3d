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

// maxFile is the largest deployment file in bytes.
const maxFile = 4 << 20

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

// Load returns the embedded deployment of the given name, or reads a file. It returns ErrNotFound or ErrInvalid.
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
	text, err := io.ReadAll(io.LimitReader(file, maxFile+1))
	if err == nil && len(text) > maxFile {
		err = eris.Errorf("%s is larger than %d bytes", name, maxFile)
	}
	return text, err
}

// Parse reads and checks a deployment. Unknown and repeated fields are errors. It returns ErrInvalid.
func Parse(text []byte) (*Deployment, error) {
	decoder := yaml.NewDecoder(bytes.NewReader(text), yaml.Strict(), yaml.Validator(validator.New()))
	d := new(Deployment)
	if err := decoder.Decode(d); err != nil {
		return nil, eris.Wrap(ErrInvalid, err.Error())
	}
	if err := decoder.Decode(new(Deployment)); err != io.EOF {
		return nil, eris.Wrap(ErrInvalid, "there is text after the deployment")
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

// statedService is the part of a service document that the load depends on. Package document checks the whole.
type statedService struct {
	Service string `yaml:"service"`
	Kinds   []Kind `yaml:"kinds"`
}

func (s *Service) readKinds() error {
	var stated statedService
	if err := yaml.Unmarshal([]byte(s.Document), &stated); err != nil {
		return eris.Wrapf(ErrInvalid, "document of service %s: %v", s.Name, err)
	}
	if stated.Service != s.Name {
		return eris.Wrapf(ErrInvalid, "document of service %s: it is for service %q", s.Name, stated.Service)
	}
	s.Kinds = stated.Kinds
	return nil
}
