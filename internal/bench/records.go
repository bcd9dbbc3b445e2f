package bench

import (
	"encoding/json"

	"github.com/rotisserie/eris"
)

// withCacheTokens sets the cache size of the engines in the record of their
// pool, as an operator configures it for real engines.
func withCacheTokens(records [][]byte, pool string, tokens int) ([][]byte, error) {
	out := make([][]byte, len(records))
	for i, data := range records {
		var doc map[string]any
		if err := json.Unmarshal(data, &doc); err != nil {
			return nil, eris.Wrap(err, "decode an example record")
		}
		changes, _ := doc["changes"].([]any)
		for _, c := range changes {
			change, _ := c.(map[string]any)
			spec, ok := change["spec"].(map[string]any)
			if ok && change["kind"] == "pool" && change["name"] == pool {
				spec["cache_tokens"] = tokens
			}
		}
		encoded, err := json.Marshal(doc)
		if err != nil {
			return nil, eris.Wrap(err, "encode an example record")
		}
		out[i] = encoded
	}
	return out, nil
}
