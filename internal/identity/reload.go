package identity

import (
	"os"
	"sync"

	"github.com/apex/log"
)

// reloadable is a value that is read from files and reloaded when one of them has changed. The files are checked at each
// use, which costs one stat per file and handshake.
type reloadable[T any] struct {
	log   log.Interface
	read  func() (T, error)
	files []string

	mu    sync.Mutex
	value T
	infos []os.FileInfo // nil for a file that does not exist
}

func loadReloadable[T any](logger log.Interface, read func() (T, error), files ...string) (*reloadable[T], error) {
	r := &reloadable[T]{log: logger, read: read, files: files}
	r.infos = r.statFiles()
	value, err := read()
	r.value = value
	return r, err
}

// get returns the newest value that could be read. A certificate and its key are replaced one after the other, so a reload
// between the two fails. It is retried at the first use after the next change.
func (r *reloadable[T]) get() T {
	r.mu.Lock()
	defer r.mu.Unlock()
	infos := r.statFiles()
	if sameFiles(infos, r.infos) {
		return r.value
	}
	r.infos = infos
	value, err := r.read()
	if err != nil {
		r.log.WithError(err).Warn("tls: cannot reload changed files; the previous content stays in use")
		return r.value
	}
	r.value = value
	r.log.WithField("files", r.files).Info("tls: reloaded changed files")
	return r.value
}

func (r *reloadable[T]) statFiles() []os.FileInfo {
	infos := make([]os.FileInfo, len(r.files))
	for i, file := range r.files {
		if info, err := os.Stat(file); err == nil {
			infos[i] = info
		}
	}
	return infos
}

// sameFiles reports whether no file has changed. Files that are written within one tick of the file system's clock can have
// the same modification time and size, so the identity of each file is compared too.
func sameFiles(a, b []os.FileInfo) bool {
	for i := range a {
		if (a[i] == nil) != (b[i] == nil) {
			return false
		}
		if a[i] != nil && !(os.SameFile(a[i], b[i]) && a[i].ModTime().Equal(b[i].ModTime()) && a[i].Size() == b[i].Size()) {
			return false
		}
	}
	return true
}
