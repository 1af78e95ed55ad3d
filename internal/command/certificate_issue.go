package command

import (
	"context"
	"strings"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/identity"
)

const defaultCertificateLifetime = 90 * day

// certificateIssue makes the certificate of a process.
type certificateIssue struct {
	files                      certificateFiles
	authority, authorityKey    string
	file, entries, agents, dns string
}

// certificateIssueCommand returns the subcommand that makes a certificate.
func certificateIssueCommand() *subcommand {
	c := newSubcommand("issue", "makes a certificate: FILE.pem and FILE-key.pem")
	s := &certificateIssue{}
	set := c.settings
	s.files.register(set, defaultCertificateLifetime)
	set.String(&s.authority, "ca", authorityFile, "file of the certificate of the authority", true)
	set.String(&s.authorityKey, "ca-key", authorityKeyFile, "file of the key of the authority", true)
	set.String(&s.file, "file", "", "name of the files without the ending", true)
	set.String(&s.entries, "entry", "", "ids of the entries that it names, separated by commas", false)
	set.String(&s.agents, "agent", "", "ids of the agents that it names, separated by commas", false)
	set.String(&s.dns, "hosts", "", "DNS names and IP addresses that it names, separated by commas, for HTTPS", false)
	c.run = s.run
	return c
}

func (s *certificateIssue) run(_ context.Context, std streams) int {
	certificate, key := s.file+".pem", s.file+"-key.pem"
	return s.files.report(std, s.issue(certificate, key), certificate, key)
}

func (s *certificateIssue) issue(certificate, key string) error {
	authority, err := identity.LoadAuthority(s.authority, s.authorityKey)
	if err != nil {
		return err
	}
	pair, err := authority.Issue(s.request(), time.Now())
	if err != nil {
		return err
	}
	return s.files.write(pair, certificate, key)
}

func (s *certificateIssue) request() identity.Request {
	request := identity.Request{Hosts: splitList(s.dns), Lifetime: s.files.lifetime}
	for _, id := range splitList(s.entries) {
		request.Names = append(request.Names, identity.Name{Role: identity.Entry, ID: id})
	}
	for _, id := range splitList(s.agents) {
		request.Names = append(request.Names, identity.Name{Role: identity.Agent, ID: id})
	}
	return request
}

// splitList returns the items of a text that are separated by commas.
func splitList(text string) []string {
	var items []string
	for item := range strings.SplitSeq(text, ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}
