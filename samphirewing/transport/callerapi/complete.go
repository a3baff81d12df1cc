package callerapi

import (
	"context"
	"net/http"
	"strings"

	"github.com/samphirewing/samphirewing/protocol/completions"
	"github.com/samphirewing/samphirewing/state/structs"
)

func (a *api) completeChat(w http.ResponseWriter, r *http.Request, organisation structs.OrganisationName) {
	a.complete(w, r, organisation, completions.StyleChat)
}

func (a *api) completeText(w http.ResponseWriter, r *http.Request, organisation structs.OrganisationName) {
	a.complete(w, r, organisation, completions.StyleText)
}

func (a *api) complete(w http.ResponseWriter, r *http.Request, organisation structs.OrganisationName, style completions.Style) {
	d, err := a.submitCompletion(w, r, organisation, style)
	if err != nil {
		a.writeError(w, err)
		return
	}
	d.answer.Attach()
	defer d.answer.Detach()
	setRequestHeaders(w, d.answer)
	if d.format.stream {
		d.stream(r.Context())
		return
	}
	d.respond(r.Context())
}

// submitCompletion reads and submits a request. It is a function of its own so
// that the submission isn't on the stack of the goroutine that waits for the
// answer.
func (a *api) submitCompletion(w http.ResponseWriter, r *http.Request, organisation structs.OrganisationName, style completions.Style) (*delivery, error) {
	submission, format, err := a.readCompletion(w, r, organisation, style)
	if err != nil {
		return nil, err
	}
	format.created = a.options.Clock.Now().Unix()
	answer, err := a.backend.Submit(r.Context(), submission)
	if err != nil {
		return nil, err
	}
	return a.newDelivery(w, answer, format, 0), nil
}

// responseFormat is the form in which a caller wants its answer.
type responseFormat struct {
	style        completions.Style
	model        string
	stream       bool
	includeUsage bool
	// created is the time of the request in Unix seconds.
	created int64
}

func (a *api) readCompletion(w http.ResponseWriter, r *http.Request, organisation structs.OrganisationName, style completions.Style) (Submission, responseFormat, error) {
	s, err := a.readHeaders(r, organisation)
	if err != nil {
		return s, responseFormat{}, err
	}
	if s.CallerKey, err = readText(r, HeaderCallerKey, maxKeyBytes); err != nil {
		return s, responseFormat{}, err
	}
	body, err := a.readBody(w, r)
	if err != nil {
		return s, responseFormat{}, err
	}
	request, err := completions.Decode(style, body)
	if err != nil {
		return s, responseFormat{}, err
	}
	s.Kind = structs.WorkModel
	s.Target = structs.Target(request.Model)
	s.Prompt = request.Prompt
	s.MaxTokens = orDefault(request.MaxTokens, a.options.MaxTokens)
	s.Temperature = request.Temperature
	s.Seed = request.Seed
	s.Stop = request.Stop
	format := responseFormat{
		style:        style,
		model:        request.Model,
		stream:       request.Stream,
		includeUsage: request.IncludeUsage,
	}
	return s, format, nil
}

// respond waits until the answer is complete and sends it as one body.
func (d *delivery) respond(ctx context.Context) {
	var text strings.Builder
	for {
		chunks, finished, err := d.answer.Next(ctx, d.lastSequence)
		if err != nil {
			d.api.abortDisconnected(d.answer)
		}
		for _, c := range chunks {
			if !d.checkSequence(c) {
				d.api.writeOutcome(d.w, d.answer.ID(), sequenceErrorResult())
				return
			}
			text.WriteString(c.Text)
		}
		if finished {
			break
		}
	}
	d.writeCompletion(text.String(), d.answer.Result())
}

func (d *delivery) writeCompletion(text string, result Result) {
	if result.Outcome != structs.OutcomeDone {
		d.api.writeOutcome(d.w, d.answer.ID(), result)
		return
	}
	d.w.Header().Set(HeaderOutcome, structs.OutcomeDone.String())
	usage := completions.NewUsage(result.PromptTokens, result.CachedTokens, result.OutputTokens)
	body := completions.NewAnswer(d.format.style, d.answer.ID(), d.format.model, d.format.created, text, result.FinishReason, usage)
	d.api.writeJSON(d.w, http.StatusOK, body)
}
