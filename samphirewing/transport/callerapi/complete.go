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
		a.refuseError(w, err)
		return
	}
	d.answer.Attach()
	defer d.answer.Detach()
	nameRequest(w, d.answer)
	if d.form.stream {
		d.stream(r.Context())
		return
	}
	d.whole(r.Context())
}

// submitCompletion reads and submits a request. The submission does not stay
// on the stack on which the request then waits.
func (a *api) submitCompletion(w http.ResponseWriter, r *http.Request, organisation structs.OrganisationName, style completions.Style) (*delivery, error) {
	submission, form, err := a.readCompletion(w, r, organisation, style)
	if err != nil {
		return nil, err
	}
	form.created = a.options.Clock.Now().Unix()
	answer, err := a.backend.Submit(r.Context(), submission)
	if err != nil {
		return nil, err
	}
	return a.newDelivery(w, answer, form, 0), nil
}

// answerForm is how a caller wants to see an answer.
type answerForm struct {
	style        completions.Style
	model        string
	stream       bool
	includeUsage bool
	// created is in Unix seconds.
	created int64
}

func (a *api) readCompletion(w http.ResponseWriter, r *http.Request, organisation structs.OrganisationName, style completions.Style) (Submission, answerForm, error) {
	s, err := a.readHeaders(r, organisation)
	if err != nil {
		return s, answerForm{}, err
	}
	if s.CallerKey, err = readText(r, HeaderCallerKey, maxKeyBytes); err != nil {
		return s, answerForm{}, err
	}
	body, err := a.readBody(w, r)
	if err != nil {
		return s, answerForm{}, err
	}
	request, err := completions.Decode(style, body)
	if err != nil {
		return s, answerForm{}, err
	}
	s.Kind = structs.WorkModel
	s.Target = structs.Target(request.Model)
	s.Prompt = request.Prompt
	s.MaxTokens = orDefault(request.MaxTokens, a.options.MaxTokens)
	s.Temperature = request.Temperature
	s.Seed = request.Seed
	s.Stop = request.Stop
	form := answerForm{
		style:        style,
		model:        request.Model,
		stream:       request.Stream,
		includeUsage: request.IncludeUsage,
	}
	return s, form, nil
}

// whole waits for the end of an answer and sends it as one body.
func (d *delivery) whole(ctx context.Context) {
	var text strings.Builder
	for {
		chunks, ended, err := d.answer.Next(ctx, d.after)
		if err != nil {
			d.api.callerLeft(d.answer)
			return
		}
		for _, c := range chunks {
			if !d.accept(c) {
				d.api.writeOutcome(d.w, d.answer.ID(), brokenResult())
				return
			}
			text.WriteString(c.Text)
		}
		if ended {
			break
		}
	}
	d.sendWhole(text.String(), d.answer.Result())
}

func (d *delivery) sendWhole(text string, result Result) {
	if result.Outcome != structs.OutcomeDone {
		d.api.writeOutcome(d.w, d.answer.ID(), result)
		return
	}
	d.w.Header().Set(HeaderOutcome, structs.OutcomeDone.String())
	usage := completions.NewUsage(result.PromptTokens, result.CachedTokens, result.OutputTokens)
	body := completions.NewAnswer(d.form.style, d.answer.ID(), d.form.model, d.form.created, text, result.FinishReason, usage)
	d.api.writeJSON(d.w, http.StatusOK, body)
}
