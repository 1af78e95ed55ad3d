package intake

import "bytes"

// headerScan counts the bytes and lines of a header section as it is read, without the body that follows it.
type headerScan struct {
	bytes, lines int
	// started is true once a line was not empty: net/http skips empty lines before some requests. ended is true after the empty
	// line at the end of the section.
	started, ended bool
	// lineBytes is the length of the incomplete last line, and firstIsCR whether it begins with a carriage return.
	lineBytes int
	firstIsCR bool
}

func (s *headerScan) add(data []byte) {
	for len(data) > 0 && !s.ended {
		if s.lineBytes == 0 {
			s.firstIsCR = data[0] == '\r'
		}
		end := bytes.IndexByte(data, '\n')
		if end < 0 {
			s.bytes += len(data)
			s.lineBytes += len(data)
			return
		}
		length := s.lineBytes + end
		s.bytes += end + 1
		s.lines++
		s.lineBytes = 0
		isEmpty := length == 0 || length == 1 && s.firstIsCR
		s.ended = isEmpty && s.started
		s.started = s.started || !isEmpty
		data = data[end+1:]
	}
}

// cost returns the memory that the section takes beyond the allowance of a connection.
func (s *headerScan) cost() int64 {
	return int64(max(s.lines-allowanceHeaderLines, 0))*lineCost + int64(max(s.bytes-allowanceHeaderBytes, 0))*headerByteCost
}

// recentLines is an upper bound of the number of lines among the last bytes read from a connection that the server may still have
// in its read buffer, which holds up to readBufferBytes.
type recentLines struct {
	bytes, lines, previousLines int
}

// readBufferBytes is the size of the read buffer of net/http.
const readBufferBytes = 4 << 10

func (r *recentLines) add(data []byte) {
	if r.bytes >= readBufferBytes {
		r.previousLines, r.bytes, r.lines = r.lines, 0, 0
	}
	r.bytes += len(data)
	r.lines += bytes.Count(data, []byte{'\n'})
}

func (r *recentLines) count() int { return r.lines + r.previousLines }
