package kvmove

import (
	"container/list"
	"sync"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/placement"
)

// DefaultChatNames is the default number of chats kept for a pool. A full table
// with names of 36 bytes takes 3.4 MB.
const DefaultChatNames = 16_384

// Chat identifies a chat.
type Chat struct {
	Workspace string
	Name      string
}

// Key returns the chat's key in the prefix index.
func (c Chat) Key() uint64 {
	return placement.ChatKey(c.Workspace, c.Name)
}

// PrefixKey returns the key under which engines cache the chat's prefix.
func (c Chat) PrefixKey() string {
	return c.Workspace + "/" + c.Name
}

// UsedChat is a chat and the time of its last use.
type UsedChat struct {
	Chat   Chat
	UsedAt time.Time
}

// ChatNames stores the names of the most recently used chats, because the prefix
// index has only their hashes. It is safe for concurrent use.
type ChatNames struct {
	mu    sync.Mutex
	limit int
	order *list.List
	byKey map[uint64]*list.Element
}

// NewChatNames returns an empty table of at most limit chats; 0 means
// DefaultChatNames.
func NewChatNames(limit int) *ChatNames {
	if limit <= 0 {
		limit = DefaultChatNames
	}
	return &ChatNames{limit: limit, order: list.New(), byKey: map[uint64]*list.Element{}}
}

// Record records a use of a chat.
func (n *ChatNames) Record(now time.Time, c Chat) {
	key := c.Key()
	n.mu.Lock()
	defer n.mu.Unlock()
	if el, ok := n.byKey[key]; ok {
		el.Value.(*UsedChat).UsedAt = now
		n.order.MoveToFront(el)
		return
	}
	n.byKey[key] = n.order.PushFront(&UsedChat{Chat: c, UsedAt: now})
	if n.order.Len() > n.limit {
		oldest := n.order.Back()
		n.order.Remove(oldest)
		delete(n.byKey, oldest.Value.(*UsedChat).Chat.Key())
	}
}

// Newest returns the chats, most recently used first.
func (n *ChatNames) Newest() []UsedChat {
	n.mu.Lock()
	defer n.mu.Unlock()
	all := make([]UsedChat, 0, n.order.Len())
	for el := n.order.Front(); el != nil; el = el.Next() {
		all = append(all, *el.Value.(*UsedChat))
	}
	return all
}
