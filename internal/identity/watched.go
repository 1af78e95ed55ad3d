package identity

import (
	"os"
	"sync"

	"github.com/apex/log"
)

// watched is a value that is read from files and read again when one of them has changed. The files are compared at each
// use, which costs one stat per file and handshake.
type watched[T any] struct {
	log   log.Interface
	read  func() (T, error)
	files []string

	mu     sync.Mutex
	value  T
	stamps []os.FileInfo // nil for a file that does not exist
}

func watch[T any](logger log.Interface, read func() (T, error), files ...string) (*watched[T], error) {
	w := &watched[T]{log: logger, read: read, files: files}
	w.stamps = w.current()
	value, err := read()
	w.value = value
	return w, err
}

// get returns the newest value that could be read. A certificate and its key are replaced one after the other, so a read
// between the two fails; it is tried again at the next use after a further change.
func (w *watched[T]) get() T {
	w.mu.Lock()
	defer w.mu.Unlock()
	stamps := w.current()
	if equal(stamps, w.stamps) {
		return w.value
	}
	w.stamps = stamps
	value, err := w.read()
	if err != nil {
		w.log.WithError(err).Warn("tls: cannot read a changed file; the former content stays in use")
		return w.value
	}
	w.value = value
	w.log.WithField("files", w.files).Info("tls: changed files are in use")
	return w.value
}

func (w *watched[T]) current() []os.FileInfo {
	stamps := make([]os.FileInfo, len(w.files))
	for i, file := range w.files {
		if info, err := os.Stat(file); err == nil {
			stamps[i] = info
		}
	}
	return stamps
}

// equal reports whether no file has changed. Two files that were written within one tick of the clock of the file system
// can have the same time and size, so replaced files are told apart by their identity too.
func equal(a, b []os.FileInfo) bool {
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
