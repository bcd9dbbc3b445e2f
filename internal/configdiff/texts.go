package configdiff

// MaxTexts is the number of texts that are kept: the one in force and the one before it, from which the difference of another
// reader may start that has read two versions at once.
const MaxTexts = 2

// Texts are the last texts that were in force. The zero value is empty. It is not safe for concurrent use.
type Texts struct {
	list []named
}

// named is a text with its hash.
type named struct {
	hash Hash
	text []byte
}

// Add makes a text the one in force. The text must not be changed afterwards. One that is too large for differences takes the
// place of the others and is not kept itself.
func (t *Texts) Add(text []byte) {
	if len(text) > MaxTextBytes || len(text) == 0 {
		t.list = nil
		return
	}
	t.list = append([]named{{hash: HashOf(text), text: text}}, t.list[:min(len(t.list), MaxTexts-1)]...)
}

// Newest returns the text in force, nil when there is none, and its hash.
func (t *Texts) Newest() ([]byte, Hash) {
	if len(t.list) == 0 {
		return nil, Hash{}
	}
	return t.list[0].text, t.list[0].hash
}

// Find returns the text with a hash, nil when it is not kept.
func (t *Texts) Find(h Hash) []byte {
	for _, n := range t.list {
		if n.hash == h {
			return n.text
		}
	}
	return nil
}

// Has reports whether the text with a hash is kept.
func (t *Texts) Has(h Hash) bool { return t.Find(h) != nil }
