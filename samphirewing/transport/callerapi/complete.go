package callerapi

import (
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
	submission, form, err := a.readCompletion(w, r, organisation, style)
	if err != nil {
		a.refuseError(w, err)
		return
	}
	answer, err := a.backend.Submit(r.Context(), submission)
	if err != nil {
		a.refuseError(w, err)
		return
	}
	form.created = a.options.Clock.Now().Unix()
	answer.Attach()
	defer answer.Detach()
	w.Header().Set(HeaderRequestID, string(answer.ID()))
	if form.stream {
		a.streamAnswer(w, r, answer, form, 0)
		return
	}
	a.wholeAnswer(w, r, answer, form)
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

// wholeAnswer waits for the end of an answer and sends it as one body.
func (a *api) wholeAnswer(w http.ResponseWriter, r *http.Request, answer Answer, form answerForm) {
	var text strings.Builder
	after := uint64(0)
	for {
		chunks, ended, err := answer.Next(r.Context(), after)
		if err != nil {
			a.callerLeft(answer)
			return
		}
		for _, c := range chunks {
			if !a.inSequence(answer, after, c) {
				a.writeOutcome(w, answer.ID(), brokenResult())
				return
			}
			after = c.Sequence
			text.WriteString(c.Text)
		}
		if ended {
			break
		}
	}
	result := answer.Result()
	if result.Outcome != structs.OutcomeDone {
		a.writeOutcome(w, answer.ID(), result)
		return
	}
	w.Header().Set(HeaderOutcome, structs.OutcomeDone.String())
	usage := completions.NewUsage(result.PromptTokens, result.CachedTokens, result.OutputTokens)
	body := completions.NewAnswer(form.style, answer.ID(), form.model, form.created, text.String(), result.FinishReason, usage)
	a.writeJSON(w, http.StatusOK, body)
}
