package loadgenerator

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"radishshed.example/radishshed/pkg/protocol/classifier"
)

const maxErrorBytes = 64 << 20

// call sends one request of a mix and checks its response.
type call struct {
	generator    *Generator
	kind         *RequestKind
	router       string
	nonce        string
	prefixNumber int
}

func (c *call) run(ctx context.Context) {
	defer func() { <-c.generator.slots }()
	o := Outcome{kind: c.kind, nonce: c.nonce}
	start := time.Now()
	c.send(ctx, &o, start)
	o.latency = time.Since(start)
	if o.firstToken == 0 {
		o.firstToken = o.latency
	}
	c.generator.addOutcome(o)
}

func (c *call) isChat() bool { return c.kind.path == "" }

func (c *call) newHTTPRequest(ctx context.Context) (*http.Request, []byte, error) {
	path, body := "/services/"+c.kind.service+c.kind.path, []byte(fmt.Sprintf(`{"nonce":%q}`, c.nonce))
	if c.isChat() {
		path, body = "/v1/chat/completions", c.chatBody()
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.router+path, strings.NewReader(string(body)))
	if err != nil {
		return nil, nil, err
	}
	r.Header.Set("Authorization", "Bearer "+c.kind.apiKey)
	r.Header.Set("Content-Type", "application/json")
	if c.kind.workLabel != "" {
		r.Header.Set("Radishshed-Work", c.kind.workLabel)
	}
	if c.kind.hasIdempotencyKey {
		r.Header.Set("Idempotency-Key", fmt.Sprintf("%d-%s", time.Now().Unix(), c.nonce))
	}
	return r, body, nil
}

// chatBody returns a chat request whose prompt begins with one of the prefixes of
// its kind, so that some requests find their prefix in the cache of an engine.
func (c *call) chatBody() []byte {
	prefix := strings.Repeat(fmt.Sprintf("prefix %d of %s. ", c.prefixNumber, c.kind.name), 1+c.kind.promptBytes/24)
	data, err := json.Marshal(map[string]any{
		"model":      c.kind.service,
		"stream":     c.kind.stream,
		"max_tokens": c.kind.tokens,
		"messages": []map[string]string{{
			"role":    "user",
			"content": fmt.Sprintf("%s nonce:%s tokens:%d", prefix, c.nonce, c.kind.tokens),
		}},
	})
	if err != nil {
		panic(err) // cannot happen: basic types always encode
	}
	return data
}

func (c *call) send(ctx context.Context, o *Outcome, start time.Time) {
	r, body, err := c.newHTTPRequest(ctx)
	if err != nil {
		o.err = err
		return
	}
	response, err := c.generator.client.Do(r)
	if err != nil {
		o.err = err
		return
	}
	defer func() { _ = response.Body.Close() }() // the body is not read any further
	o.status = response.StatusCode
	o.requestID = response.Header.Get("X-Request-Id")
	o.verdict = response.Header.Get(classifier.Header)
	if response.StatusCode != http.StatusOK {
		o.code = errorCode(response.Body)
		return
	}
	switch {
	case !c.isChat():
		c.checkPlain(o, response.Body, body)
	case c.kind.stream:
		c.checkStream(o, response.Body, start)
	default:
		c.checkCompletion(o, response.Body)
	}
}

func errorCode(body io.Reader) string {
	var w struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	if err := json.NewDecoder(io.LimitReader(body, maxErrorBytes)).Decode(&w); err != nil || w.Error.Code == "" {
		return "untyped"
	}
	return w.Error.Code
}

func (c *call) checkPlain(o *Outcome, responseBody io.Reader, requestBody []byte) {
	var w struct {
		BodyHash string `json:"bodyHash"`
	}
	if o.err = json.NewDecoder(responseBody).Decode(&w); o.err != nil {
		return
	}
	sum := sha256.Sum256(requestBody)
	if w.BodyHash != hex.EncodeToString(sum[:]) {
		o.problem = "response belongs to another request"
		return
	}
	o.served = true
}

func (c *call) checkCompletion(o *Outcome, responseBody io.Reader) {
	var w struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
		Usage struct {
			CompletionTokens int `json:"completion_tokens"`
		} `json:"usage"`
	}
	if o.err = json.NewDecoder(responseBody).Decode(&w); o.err != nil {
		return
	}
	if len(w.Choices) != 1 {
		o.problem = "response does not have exactly one choice"
		return
	}
	o.tokens = w.Usage.CompletionTokens
	c.checkContent(o, w.Choices[0].Message.Content)
}

// checkStream reads events up to the end marker. A stream without one counts as
// incomplete, but not as incorrect, since it does not look complete.
func (c *call) checkStream(o *Outcome, responseBody io.Reader, start time.Time) {
	scanner := bufio.NewScanner(responseBody)
	scanner.Buffer(nil, 1<<20)
	var content strings.Builder
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			c.checkContent(o, content.String())
			return
		}
		if o.firstToken == 0 {
			o.firstToken = time.Since(start)
		}
		var w struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if json.Unmarshal([]byte(data), &w) == nil && len(w.Choices) == 1 {
			content.WriteString(w.Choices[0].Delta.Content)
			o.tokens++
		}
	}
}

func (c *call) checkContent(o *Outcome, content string) {
	switch words := strings.Fields(content); {
	case len(words) == 0 || words[0] != c.nonce:
		o.problem = "response belongs to another request"
	case len(words) != c.kind.tokens || words[len(words)-1] != "end":
		o.problem = fmt.Sprintf("response has %d of %d words or does not end with the end marker", len(words), c.kind.tokens)
	default:
		o.served = true
	}
}
