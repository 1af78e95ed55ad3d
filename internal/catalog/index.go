package catalog

import (
	"unicode"
	"unicode/utf8"
)

// noQueue is the index of no queue.
const noQueue = -1

// queueIndex finds the queue of a request by host and prefix. The queues of each host form a tree of their prefixes, and so do
// the queues that match every host.
type queueIndex struct {
	byHost  map[string]*prefixNode // by folded host
	anyHost *prefixNode
}

// prefixNode is a node of a radix tree. It stands for the prefix that the labels on the way to it spell.
type prefixNode struct {
	label    string // the part of the prefix after that of the parent
	queue    int    // index of the first queue with this prefix, or noQueue
	children map[byte]*prefixNode
}

func newQueueIndex(queues []Queue) *queueIndex {
	x := &queueIndex{byHost: make(map[string]*prefixNode), anyHost: &prefixNode{queue: noQueue}}
	for i := range queues {
		root := x.anyHost
		if queues[i].Host != "" {
			host := string(appendFolded(nil, queues[i].Host))
			if root = x.byHost[host]; root == nil {
				root = &prefixNode{queue: noQueue}
				x.byHost[host] = root
			}
		}
		root.insert(queues[i].Prefix, i)
	}
	return x
}

// match returns the index of the queue with the longest prefix, or noQueue. Of several queues with the same prefix it returns
// the first.
func (x *queueIndex) match(host, path string) int {
	var buffer [64]byte
	queue, length := noQueue, 0
	if root := x.byHost[string(appendFolded(buffer[:0], host))]; root != nil {
		queue, length = root.longest(path)
	}
	general, generalLength := x.anyHost.longest(path)
	if queue == noQueue || general != noQueue && (generalLength > length || generalLength == length && general < queue) {
		return general
	}
	return queue
}

// insert adds a queue with a prefix, given without that of the node. It keeps the first of several with the same prefix.
func (n *prefixNode) insert(prefix string, queue int) {
	for prefix != "" {
		child := n.children[prefix[0]]
		if child == nil {
			child = &prefixNode{label: prefix, queue: noQueue}
			n.setChild(child)
		}
		common := commonLength(child.label, prefix)
		if common < len(child.label) {
			child = n.split(child, common)
		}
		n, prefix = child, prefix[common:]
	}
	if n.queue == noQueue {
		n.queue = queue
	}
}

// split puts a node between n and its child, which takes the first bytes of the label of the child.
func (n *prefixNode) split(child *prefixNode, length int) *prefixNode {
	middle := &prefixNode{label: child.label[:length], queue: noQueue}
	child.label = child.label[length:]
	middle.setChild(child)
	n.setChild(middle)
	return middle
}

func (n *prefixNode) setChild(child *prefixNode) {
	if n.children == nil {
		n.children = make(map[byte]*prefixNode)
	}
	n.children[child.label[0]] = child
}

// longest returns the queue with the longest prefix of path, and the length of the prefix.
func (n *prefixNode) longest(path string) (queue, length int) {
	queue, rest := n.queue, path
	for rest != "" {
		n = n.children[rest[0]]
		if n == nil || len(rest) < len(n.label) || rest[:len(n.label)] != n.label {
			break
		}
		rest = rest[len(n.label):]
		if n.queue != noQueue {
			queue, length = n.queue, len(path)-len(rest)
		}
	}
	return queue, length
}

func commonLength(a, b string) int {
	i := 0
	for i < len(a) && i < len(b) && a[i] == b[i] {
		i++
	}
	return i
}

// appendFolded appends a host in a form that is equal for two hosts if and only if strings.EqualFold holds for them: each
// letter is replaced by the smallest one that differs from it in case only.
func appendFolded(buffer []byte, host string) []byte {
	for _, r := range host {
		switch {
		case 'A' <= r && r <= 'Z' || '0' <= r && r <= '9' || r == '.' || r == '-':
		case 'a' <= r && r <= 'z':
			r -= 'a' - 'A'
		default:
			r = smallestFold(r)
		}
		buffer = utf8.AppendRune(buffer, r)
	}
	return buffer
}

func smallestFold(r rune) rune {
	smallest := r
	for f := unicode.SimpleFold(r); f != r; f = unicode.SimpleFold(f) {
		smallest = min(smallest, f)
	}
	return smallest
}
