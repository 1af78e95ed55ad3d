package command

import (
	"context"
	"strings"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/identity"
)

const defaultCertificateLifetime = 90 * day

// certificateIssueSettings holds the settings of the subcommand certificate issue.
type certificateIssueSettings struct {
	files                               certificateFiles
	authorityPath, authorityKeyPath     string
	baseName, entryIDs, agentIDs, hosts string
}

// newCertificateIssue returns the subcommand that makes the certificate of a process.
func newCertificateIssue() *subcommand {
	c := newSubcommand("issue", "make a certificate: FILE.pem and FILE-key.pem")
	s := &certificateIssueSettings{}
	set := c.settings
	s.files.register(set, defaultCertificateLifetime)
	set.String(&s.authorityPath, "ca", authorityFile, "file of the certificate of the authority", true)
	set.String(&s.authorityKeyPath, "ca-key", authorityKeyFile, "file of the key of the authority", true)
	set.String(&s.baseName, "file", "", "name of the files without the extension", true)
	set.String(&s.entryIDs, "entry", "", "ids of the entries that the certificate names, separated by commas", false)
	set.String(&s.agentIDs, "agent", "", "ids of the agents that the certificate names, separated by commas", false)
	set.String(&s.hosts, "hosts", "",
		"DNS names and IP addresses that the certificate names for HTTPS, separated by commas", false)
	c.run = s.run
	return c
}

func (s *certificateIssueSettings) run(_ context.Context, std streams) int {
	certificate, key := s.baseName+".pem", s.baseName+"-key.pem"
	return s.files.reportResult(std, s.issue(certificate, key), certificate, key)
}

func (s *certificateIssueSettings) issue(certificate, key string) error {
	authority, err := identity.LoadAuthority(s.authorityPath, s.authorityKeyPath)
	if err != nil {
		return err
	}
	pair, err := authority.Issue(s.buildRequest(), time.Now())
	if err != nil {
		return err
	}
	return s.files.write(pair, certificate, key)
}

func (s *certificateIssueSettings) buildRequest() identity.Request {
	request := identity.Request{Hosts: splitList(s.hosts), Lifetime: s.files.lifetime}
	for _, id := range splitList(s.entryIDs) {
		request.Names = append(request.Names, identity.Name{Role: identity.Entry, ID: id})
	}
	for _, id := range splitList(s.agentIDs) {
		request.Names = append(request.Names, identity.Name{Role: identity.Agent, ID: id})
	}
	return request
}

// splitList returns the items of a comma-separated list without spaces around them and without empty ones.
func splitList(text string) []string {
	var items []string
	for item := range strings.SplitSeq(text, ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}
