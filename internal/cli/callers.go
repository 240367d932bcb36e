package cli

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"damaskrouter.example/damaskrouter/client"
	"github.com/google/uuid"
	"github.com/integrii/flaggy"
)

// callerFlags are the flags that all commands for callers have.
type callerFlags struct {
	seeds []string
	key   string
	tls   tlsFlags
}

func (f *callerFlags) add(sub *flaggy.Subcommand) {
	sub.StringSlice(&f.seeds, "r", "router", "The address of a router to ask; may be given several times.")
	sub.String(&f.key, "k", "key", "The client account's API key. Default: DAMASKROUTER_KEY from the environment.")
	f.tls.add(sub)
}

func (f *callerFlags) client() (*client.Client, error) {
	if len(f.seeds) == 0 {
		return nil, ErrUsage.New("name at least one router with --router ADDRESS")
	}
	if f.key == "" {
		f.key = os.Getenv("DAMASKROUTER_KEY")
	}
	o := client.Options{Seeds: f.seeds, Key: f.key}
	if err := f.tls.apply(&o); err != nil {
		return nil, err
	}
	return client.New(o)
}

func locateCommand() *command {
	var f callerFlags
	var chat, model string
	c := newCommand("locate", "Ask which router to use for a chat.", func(ctx context.Context, con *console) error {
		cl, err := f.client()
		if err != nil {
			return err
		}
		defer cl.Close()
		addrs, err := cl.Locate(ctx, chat, model)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintln(con.out, strings.Join(addrs, "\n"))
		return err
	})
	f.add(c.sub)
	c.sub.String(&chat, "c", "chat", "The id of the chat.")
	c.sub.String(&model, "m", "model", "The model of the chat.")
	return c
}

func chatCommand() *command {
	var f callerFlags
	var chat, model, priority string
	var messages []string
	maxTokens := 0
	c := newCommand("chat", "Hold a chat: one turn for each --say, streamed.", func(ctx context.Context, con *console) error {
		if len(messages) == 0 || model == "" {
			return ErrUsage.New("chat needs --model NAME and at least one --say TEXT")
		}
		cl, err := f.client()
		if err != nil {
			return err
		}
		defer cl.Close()
		conv := cl.Conversation(chat, model)
		conv.Priority = priority
		conv.MaxTokens = maxTokens
		return runTurns(ctx, con, conv, messages)
	})
	f.add(c.sub)
	c.sub.String(&chat, "c", "chat", "The id of the chat. Default: a fresh one.")
	c.sub.String(&model, "m", "model", "The model.")
	c.sub.String(&priority, "p", "priority", "The class: urgent, high, normal or batch.")
	c.sub.StringSlice(&messages, "s", "say", "What to say; once for each turn.")
	c.sub.Int(&maxTokens, "n", "max-tokens", "The longest answer, in tokens.")
	chat = uuid.NewString()
	return c
}

func runTurns(ctx context.Context, con *console, conv *client.Conversation, messages []string) error {
	for _, text := range messages {
		fmt.Fprintf(con.out, "> %s\n", text)
		turn, err := conv.Say(ctx, text, func(token string) { fmt.Fprint(con.out, token) })
		fmt.Fprintln(con.out)
		if err != nil {
			return err
		}
		fmt.Fprintf(con.out, "[router %s, first token %s, prompt %d tokens, %d of them cached]\n",
			turn.Router, turn.FirstToken.Round(time.Millisecond/10), turn.Usage.PromptTokens, turn.Usage.CachedTokens)
	}
	return nil
}

func callCommand() *command {
	var f callerFlags
	var method, service, path, key, body string
	c := newCommand("call", "Send one call to a plain service.", func(ctx context.Context, con *console) error {
		if service == "" || path == "" {
			return ErrUsage.New("call needs --service NAME and --path PATH")
		}
		cl, err := f.client()
		if err != nil {
			return err
		}
		defer cl.Close()
		reply, err := cl.Call(ctx, method, service, path, key, []byte(body))
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(con.out, "%d %s\n", reply.Status, reply.Body)
		return err
	})
	f.add(c.sub)
	method = "GET"
	c.sub.String(&method, "X", "method", "The HTTP method.")
	c.sub.String(&service, "s", "service", "The plain service.")
	c.sub.String(&path, "p", "path", "The path within the service.")
	c.sub.String(&key, "i", "idempotency-key", "The key of the operation; needed where the call must not be repeated.")
	c.sub.String(&body, "d", "data", "The body.")
	return c
}
